"""Measures the fleet view: processes under faults, growth in virtual time, and the effect of shared evidence."""
