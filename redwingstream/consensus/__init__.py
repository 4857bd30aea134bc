"""Raft consensus among the control instances, without I/O and without a clock.

Modules
-------
messages
    Messages between replicas, and the log entries that they replicate.
events
    Inputs of a replica, and the effects that its driver has to carry out.
log
    The entries held in memory, and the snapshot that they follow.
state
    State of a replica, and its role.
election
    Pre-votes, votes and the start of a term.
leader_handlers, leader_messages, leader_contact
    Replication, commits, reads and liveness, as a leader decides on them.
follower_handlers
    A follower's handling of entries and snapshots.
group_formation, group_changes, quorum
    First group, changes of the group, and majorities while it changes.
core
    Dispatch of events to these modules.
"""
