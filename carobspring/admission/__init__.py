"""The gate of an engine: how prompts wait and which are turned away."""

from carobspring.admission.gate import AdmissionGate, GateDecision
from carobspring.admission.limits import AdmissionLimits

__all__ = ["AdmissionGate", "AdmissionLimits", "GateDecision"]
