"""Admission control of backend servers.

Which prompts wait for an engine or are rejected, and which requests get a
permit for a server that limits their rate.
"""

from carobspring.admission.controller import AdmissionController, EntryDecision
from carobspring.admission.limits import AdmissionLimits
from carobspring.admission.pacing import RequestPacer, compute_used_rate

__all__ = [
    "AdmissionController",
    "AdmissionLimits",
    "EntryDecision",
    "RequestPacer",
    "compute_used_rate",
]
