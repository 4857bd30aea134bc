"""The role of a control instance.

Modules
-------
settings
    Settings of a control instance.
replica
    Driver of the consensus: stores entries, sends messages, applies commands.
replica_factory
    Opens the replica of a data folder.
members
    Answers to announcements and heartbeats of members.
service
    Answers to calls of operators and other processes.
instance
    A replica with its socket and its timers.
recovery
    Recovery by operators after a majority of the disks was lost.
role
    Lifetime of an instance's files and sockets.
"""
