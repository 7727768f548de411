"""Paths of the calls that arrive at the system."""

from typing import Final

READINESS_PATH: Final = "/v1/readyz"
CONFIGURATION_PATH: Final = "/v1/config"
#: A backend server's identifier follows.
BACKEND_SERVER_PATH_PREFIX: Final = "/v1/instances/"
