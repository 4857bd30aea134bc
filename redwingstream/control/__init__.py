"""The role of a control instance.

Modules
-------
settings
    What an instance is told at its start.
replica
    Carries out what the consensus decides: stores, sends, applies.
members
    Announcements and heartbeats.
service
    Calls of operators and other processes.
instance
    A replica with its socket, ticking.
recovery
    The operators' way out when a majority of the disks is lost.
role
    Files, sockets and their end.
"""
