"""Benchmarks and simulations, run as `python -m benchmarks.NAME`; no part of the program."""
