"""The replicated log."""
