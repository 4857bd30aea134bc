"""The operators' tables and what every process knows of them.

Modules
-------
rows
    Route, pool, zone mark, member and view: the rows and how they are named.
snapshot
    An unchangeable copy of all tables at one revision.
messages
    How processes fetch tables and how operators change them.
history
    The tables of a process that follows, with its latest updates.
routing
    Which pool a caller's traffic belongs to.
machine
    The replicated state machine.
"""
