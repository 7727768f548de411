"""The command-line programs, which compose the cores with the adapters."""
