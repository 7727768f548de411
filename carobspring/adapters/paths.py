"""gRPC paths of the methods that the processes call on each other."""

RUN_CALL = "/carob.Agent/Run"
RESUME_CALL = "/carob.Agent/Resume"
CANCEL_CALL = "/carob.Agent/Cancel"
FENCE_CLAIM = "/carob.Agent/Fence"
FETCH_SETTINGS = "/carob.Agent/Settings"

WATCH_AGENT = "/carob.Control/Agent"
WATCH_ENTRY = "/carob.Control/Entry"
CLAIM_CALL = "/carob.Control/Claim"
REPORT_OUTCOME = "/carob.Control/Outcome"

EXCHANGE_BATCHES = "/carob.Peer/Exchange"
FORWARD_COMMAND = "/carob.Control/Forward"
DISCOVER_DAEMONS = "/carob.Control/Greet"

ADMIT = "/carob.Gate/Admit"
