"""Adapters that connect the ports to circuits, grpclib, disks and HTTP."""
