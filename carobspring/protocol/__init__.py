"""Messages between the system's own processes.

Each is a frozen data class that the gRPC adapter encodes as MessagePack. A
receiver ignores fields that it does not know and fills in defaults for those
that are missing, so that neighbouring versions understand each other; for this
every field added later needs a default.
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
    ViewUpdate,
)

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
    "EngineLoad",
    "EntryReport",
    "FenceClaim",
    "FenceReply",
    "FetchSettings",
    "OutcomeReply",
    "OutcomeReport",
    "ResponseHead",
    "ResumeCall",
    "RoutingConfiguration",
    "RunCall",
    "SettingsReply",
    "StoredResponse",
    "Strike",
    "ViewUpdate",
]
