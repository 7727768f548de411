"""Options of the programs configured by a platform's node file."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True, kw_only=True)
class InstanceOptions:
    """Run on an instance, configured by the platform's node file.

    Each flag also has a variable: CAROB_SECRET for --secret.

    Args:
        secret: Shared secret of the system's processes.
        metrics_port: Port for the metrics; 0 disables them.
        log_format: text or json.
        log_level: DEBUG, INFO, WARNING or ERROR.
    """

    secret: Annotated[str, Meta(min_length=8)]
    metrics_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    log_format: Annotated[str, Meta(pattern="^(text|json)$")] = "json"
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
