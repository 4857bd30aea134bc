"""Who is there: announcements, leases and incarnations.

Modules
-------
messages
    Announcements, heartbeats, probes and dumps.
announcer
    The member's side: announces itself, then sends heartbeats.
leases, returns
    The leader's side: who is alive, and hosts that return too often.
checks
    What is wrong with an announcement.
peers
    Which peers have gone silent.
"""
