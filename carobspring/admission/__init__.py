"""The gate of an engine: how prompts wait and which are turned away."""

from carobspring.admission.controller import AdmissionController, EntryDecision
from carobspring.admission.limits import AdmissionLimits

__all__ = ["AdmissionController", "AdmissionLimits", "EntryDecision"]
