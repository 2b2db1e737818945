"""Scripted peers on loopback for tests, benchmarks and the demonstration. The program itself never imports them."""
