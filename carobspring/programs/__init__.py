"""The command-line programs: each composes cores and adapters."""
