"""Stand-ins for backend servers, for the demo, tests and benchmarks."""
