"""Established flows: feeds that stay with the server that carries them.

Modules
-------
records
    What a home and its heir remember of a flow.
table, tombstones
    The flows of the buckets for which an agent is home or heir.
feeds, feed_queries, feed_state, carried
    The feeds that an agent carries, between its server and the callers.
notifications, caller_ids, observe, paths
    Towards the callers: repeats, message ids, numbers, ways back.
registrations
    When feeds may be registered at the server.
upstream, sending, receiving, exchanges, links
    Towards the server: requests and feeds in progress, and its sockets.
blocks
    Answers that travel in several blocks.
effects
    What this logic asks its agent to carry out.
message_ids, timers
    Message ids not used again too early; due times by key.
"""
