"""The options of the programs that a platform's settings file configures."""

from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta


@dataclass(frozen=True, kw_only=True)
class InstanceOptions:
    """Run on an instance by the settings file that the platform writes.

    Every flag can be given as a variable too: --secret as CAROB_SECRET.

    Args:
        secret: Shared secret of the system's own processes.
        metrics_port: Port of the metrics; 0 serves none.
        log_format: text or json.
        log_level: DEBUG, INFO, WARNING or ERROR.
    """

    secret: Annotated[str, Meta(min_length=8)]
    metrics_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    log_format: Annotated[str, Meta(pattern="^(text|json)$")] = "json"
    log_level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
