"""The command-line programs, which connect the other packages."""
