"""Replicated tables of routes, pools, zones, members and views.

Modules
-------
rows
    Classes of the rows and the keys that identify them in their tables.
snapshot
    Immutable copy of all tables at one revision.
messages
    Messages by which processes fetch tables.
edits
    Messages by which operators change and read the tables.
history
    Tables of a follower (a process that polls them) and its latest updates.
routing
    Lookup of the route for a caller and a service.
machine
    The state machine that the control instances replicate.
"""
