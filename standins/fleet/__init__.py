"""Test fleets of sidecars with faults between them: in virtual time over the protocol, and as processes on loopback.

`faults.py` holds the faults of links and `script.py` the scripts of faults; both are shared. `virtual.py` runs fleets
in virtual time; `relay.py` and `rig.py` run fleets of processes.
"""
