"""Replicated ownership of buckets: home, heir and takeover between views.

A bucket is a fixed part of a pool's flows.  In each view of the pool one agent,
the home, owns the bucket; its replica, the heir, acknowledges each record
before the record takes effect, and is the source of a takeover when the home
is lost.

Modules
-------
rendezvous, views
    Map flows to buckets, and buckets to home and heir in each view.
keeper
    State of all buckets of a pool at one agent.
home_bucket, takeover
    A bucket at its home: contents are fetched from the pairs of earlier views,
    then the bucket is in effect.
outbox, pending, parts
    Replication of records from home to heir, in messages that fit a frame.
fence
    A bucket at its heir or at a home or heir of an earlier view.
conflicts
    Detects waiting records that contradict what another home has recorded.
messages, effects
    Messages between agents, and actions that the keeper requests.
retries
    Back-off for unanswered messages.
"""
