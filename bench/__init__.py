"""Measurements of the running programs."""
