"""Interface to the hosting platform: headers, paths and file formats.

This package only translates between the platform's names and the project's
types; no other package knows those names.
"""

from carobspring.platform.checkins import (
    CheckIn,
    decode_check_in,
    encode_check_in_response,
)
from carobspring.platform.configuration import (
    ConfigurationError,
    decode_routing_table,
    decode_version,
)
from carobspring.platform.headers import (
    END_TO_END_HEADERS,
    PRIORITY_LEVELS,
    RequestMetadata,
    ResponseMetadata,
    build_backend_headers,
    build_error_headers,
    parse_request_headers,
    parse_response_headers,
)
from carobspring.platform.node import InstanceSettings, NodeFileError, read_node_file
from carobspring.platform.paths import (
    BACKEND_SERVER_PATH_PREFIX,
    CONFIGURATION_PATH,
    READINESS_PATH,
)
from carobspring.platform.provider import (
    ProviderCall,
    ProviderSettings,
    build_usage_call,
)

__all__ = [
    "BACKEND_SERVER_PATH_PREFIX",
    "CONFIGURATION_PATH",
    "CheckIn",
    "ConfigurationError",
    "END_TO_END_HEADERS",
    "InstanceSettings",
    "NodeFileError",
    "PRIORITY_LEVELS",
    "ProviderCall",
    "ProviderSettings",
    "READINESS_PATH",
    "RequestMetadata",
    "ResponseMetadata",
    "build_backend_headers",
    "build_error_headers",
    "build_usage_call",
    "decode_check_in",
    "decode_routing_table",
    "decode_version",
    "encode_check_in_response",
    "parse_request_headers",
    "parse_response_headers",
    "read_node_file",
]
