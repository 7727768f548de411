"""Unique calls: claims, outcomes and their expiry."""
