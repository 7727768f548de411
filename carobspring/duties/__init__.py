"""Duties that one daemon at a time performs for all: when it may call.

The package does no input or output.
"""

from carobspring.duties.pacing import CallPacing
from carobspring.duties.tenure import Leadership, Tenure, TenureTiming

__all__ = ["CallPacing", "Leadership", "Tenure", "TenureTiming"]
