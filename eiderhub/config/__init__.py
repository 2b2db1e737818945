"""Reads the operator's file, and writes, checks and explains configurations. Not loaded without an operator's file."""
