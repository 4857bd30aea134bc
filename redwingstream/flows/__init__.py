"""Established flows: CoAP feeds and requests that stay with one server.

A feed is an observation by RFC 7641: a caller registers once, and the server
sends it notifications.  It stays with the server that serves it; the agent of
that server is the carrier of the feed.

Modules
-------
records
    What the home of a flow and its heir store about it.
table, tombstones
    The flows of the buckets for which an agent is home or heir.
feeds, feed_queries, feed_state, feed_registry
    The feeds that an agent carries, between its server and the callers.
notifications, caller_message_ids, observe, return_paths
    Towards the callers: retransmissions, message ids, sequence numbers and
    the balancers through which packets go back.
registrations
    When feeds may be registered at the server.
upstream, request_sender, packet_receiver, exchanges, server_links
    Towards the server: requests and feeds in progress, and the sockets.
block_transfers
    Answers that are sent in several blocks.
effects
    What this logic asks its agent to carry out.
message_ids, timers
    Message ids that are not reused too early; due times by key.
"""
