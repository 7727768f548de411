"""Admission control of an engine: which prompts wait and which are refused."""

from carobspring.admission.controller import AdmissionController, EntryDecision
from carobspring.admission.limits import AdmissionLimits

__all__ = ["AdmissionController", "AdmissionLimits", "EntryDecision"]
