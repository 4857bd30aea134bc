"""Membership of processes: announcements, leases, incarnations and probes.

Modules
-------
messages
    Announcements, heartbeats, probes and dumps.
announcer
    Member side: announces the process, then sends heartbeats.
leases, readmissions
    Leader side: liveness of members, and delays for hosts that are admitted
    again too often.
checks
    Validation of announcements.
peers
    Detection of peers that do not answer.
"""
