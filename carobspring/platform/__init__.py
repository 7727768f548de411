"""The users' machines: their names, formats and calls, translated.

Nothing here decides anything. Wire names are decoded once into the project's
types; nothing outside of this package knows them.
"""

from carobspring.platform.checkins import (
    CheckIn,
    decode_check_in,
    encode_check_in_answer,
)
from carobspring.platform.configuration import (
    ConfigurationError,
    decode_routing_table,
    decode_version,
)
from carobspring.platform.headers import (
    AnswerFacts,
    RequestFacts,
    build_backend_headers,
    build_refusal_headers,
    read_answer_facts,
    read_request_facts,
)
from carobspring.platform.node import InstanceSettings, NodeFileError, read_node_file
from carobspring.platform.paths import (
    CONFIGURATION_PATH,
    INSTANCE_PATH_PREFIX,
    READINESS_PATH,
)

__all__ = [
    "AnswerFacts",
    "CONFIGURATION_PATH",
    "CheckIn",
    "ConfigurationError",
    "INSTANCE_PATH_PREFIX",
    "InstanceSettings",
    "NodeFileError",
    "READINESS_PATH",
    "RequestFacts",
    "build_backend_headers",
    "build_refusal_headers",
    "decode_check_in",
    "decode_routing_table",
    "decode_version",
    "encode_check_in_answer",
    "read_answer_facts",
    "read_node_file",
    "read_request_facts",
]
