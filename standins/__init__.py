"""Stand-ins for backend servers, used by the demo, tests and bench."""
