"""The ledger of unique calls: who may run one, and what became of it.

Sans-IO: every replica applies the same commands of the replicated log.
"""

from carobspring.ledger.commands import (
    ClaimCommand,
    ExpireCommand,
    OutcomeCommand,
)
from carobspring.ledger.ledger import LedgerSnapshot, UniqueCallLedger

__all__ = [
    "ClaimCommand",
    "ExpireCommand",
    "LedgerSnapshot",
    "OutcomeCommand",
    "UniqueCallLedger",
]
