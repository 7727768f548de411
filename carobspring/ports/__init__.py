"""Abstract base classes for everything that the decision cores need outside.

Programs give adapters to them; tests give small fakes.
"""

from carobspring.ports.clock import Clock
from carobspring.ports.random import RandomSource
from carobspring.ports.storage import Storage, StorageError

__all__ = ["Clock", "RandomSource", "Storage", "StorageError"]
