"""Tests over real processes, real sockets and real files on loopback.

Modules
-------
cluster
    A small fleet of processes that a test kills, freezes and starts again.
traffic
    Feeds and non-idempotent requests that go on meanwhile, and what became of
    them.

Notes
-----
A verdict depends on facts and counts only.  Waiting has generous limits, so
that a busy machine makes a run longer and not red.
"""
