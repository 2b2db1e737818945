"""The fleet's membership view, which sidecars keep among themselves by gossip: members, builds, failing endpoints.

`messages.py` is the wire format, `member_table.py` the table of members, `protocol.py` the membership protocol (SWIM
with Lifeguard) and `evidence.py` the exchange of observations of endpoints; they do no I/O, and take time and
randomness as arguments. `node.py` is the socket and the timers, `event_log.py` writes files for operators, and
`command.py` reads them.
"""
