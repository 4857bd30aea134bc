"""Admission control: each backend server gets only the load it can handle.

Modules
-------
concurrency_limit, in_flight
    Limit on the requests that a server runs at once.
evidence, warmth, latency
    When that limit may rise, and when a server has turned cold.
feed_limit
    Limit on the feeds of a server and on the rate at which they are opened.
peer_choice
    Choice of another agent for work that this one cannot take.
retry_delays
    Delay after which a refused caller should retry.
retry_budget
    Budget for retries that the system sends itself.
"""
