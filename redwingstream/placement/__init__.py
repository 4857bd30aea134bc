"""Buckets, their home and heir, and how they move without being lost.

Modules
-------
rendezvous, views
    Which bucket a flow belongs to, and which agents hold it in each view.
keeper
    All buckets of a pool at one agent.
duty, takeover
    A bucket at its home: heard from earlier pairs, then in effect.
outbox, pending, parts
    Records on their way from home to heir, cut to fit a frame.
fence
    A bucket at its heir or an earlier holder.
conflicts
    Records that must not follow what another home has recorded.
messages, effects
    What agents say to each other, and what the keeper asks for.
retries
    When an unanswered message is sent again.
"""
