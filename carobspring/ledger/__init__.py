"""Ledger of unique calls: the agent that may run each one, and its outcome.

The package does no input or output. Every replica applies the same commands
from the replicated log.
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
