"""Adapters that implement the ports with circuits, grpclib, files and HTTP."""
