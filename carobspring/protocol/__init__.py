"""Messages between the processes of the system.

Each message is a frozen data class that the gRPC adapter encodes as
MessagePack. A receiver ignores unknown fields and uses defaults for missing
ones, so that adjacent versions are compatible. This requires that every field
added later has a default.
"""

from carobspring.protocol.admission import (
    ADMISSION_HEARTBEAT_INTERVAL_S,
    ADMISSION_SILENCE_TIMEOUT_S,
    AdmissionDecision,
    AdmissionRelease,
    AdmissionReport,
    AdmissionRequest,
    AdmissionUpdate,
    EngineLoad,
)
from carobspring.protocol.calls import (
    CallEnd,
    CallEvent,
    CancelCall,
    CancelReply,
    FenceClaim,
    FenceReply,
    ResponseHead,
    ResumeCall,
    RunCall,
)
from carobspring.protocol.claims import (
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    OutcomeReply,
    OutcomeReport,
    StoredResponse,
)
from carobspring.protocol.control import (
    AgentReport,
    AgentUpdate,
    ClassAttainment,
    EntryReport,
    FetchSettings,
    RoutingConfiguration,
    SettingsReply,
    Strike,
    VersionSighting,
    ViewUpdate,
)
from carobspring.protocol.soft_state import (
    DECODE_ERRORS,
    SoftState,
    decode_soft_state,
    encode_soft_state,
    get_decoder,
)
from carobspring.protocol.streams import (
    ServiceVersions,
    StreamAnswer,
    StreamMessage,
    StreamQuestion,
    StreamRecord,
)
from carobspring.protocol.usage import EntryUsage, WindowUsage

__all__ = [
    "ADMISSION_HEARTBEAT_INTERVAL_S",
    "ADMISSION_SILENCE_TIMEOUT_S",
    "AdmissionDecision",
    "AdmissionRelease",
    "AdmissionReport",
    "AdmissionRequest",
    "AdmissionUpdate",
    "AgentReport",
    "AgentUpdate",
    "CallEnd",
    "CallEvent",
    "CancelCall",
    "CancelReply",
    "Claim",
    "ClaimReply",
    "ClaimRequest",
    "ClaimState",
    "ClassAttainment",
    "DECODE_ERRORS",
    "EngineLoad",
    "EntryReport",
    "EntryUsage",
    "FenceClaim",
    "FenceReply",
    "FetchSettings",
    "OutcomeReply",
    "OutcomeReport",
    "ResponseHead",
    "ResumeCall",
    "RoutingConfiguration",
    "RunCall",
    "ServiceVersions",
    "SettingsReply",
    "SoftState",
    "StoredResponse",
    "StreamAnswer",
    "StreamMessage",
    "StreamQuestion",
    "StreamRecord",
    "Strike",
    "VersionSighting",
    "ViewUpdate",
    "WindowUsage",
    "decode_soft_state",
    "encode_soft_state",
    "get_decoder",
]
