"""Paths of the HTTP endpoints that the platform calls."""

from typing import Final

READINESS_PATH: Final = "/v1/readyz"
CONFIGURATION_PATH: Final = "/v1/config"
#: Followed by the identifier of a backend server.
BACKEND_SERVER_PATH_PREFIX: Final = "/v1/instances/"
