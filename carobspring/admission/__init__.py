"""Admission control of an engine: which prompts wait or are rejected."""

from carobspring.admission.controller import AdmissionController, EntryDecision
from carobspring.admission.limits import AdmissionLimits

__all__ = ["AdmissionController", "AdmissionLimits", "EntryDecision"]
