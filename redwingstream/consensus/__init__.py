"""Agreement among the control instances, without I/O and without a clock.

Modules
-------
messages
    What replicas send each other, and the entries they agree on.
events
    What a replica is told and what it wants done.
log
    The entries in memory, above a snapshot.
state
    Everything a replica knows, and its role.
election, leading, sending, following, joining
    The decisions, by duty.
core
    The dispatch from events to decisions.
"""
