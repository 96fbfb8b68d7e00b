"""A soak of real node processes under faults, against stand-ins on loopback.

A day of the emulator is played in real time: its store, workers, VMs, callers, faults
and checks, but each node is a process of its own that is reached over sockets, killed,
paused and stopped by signals.
"""
