"""Benchmarks and fault-injection tests of the running programs."""
