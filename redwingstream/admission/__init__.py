"""Admission: each backend server gets only the work that it can bear.

Modules
-------
limit, in_flight
    How many requests a server runs at once.
evidence, warmth, latency
    When that limit may rise, and when a server has turned cold.
feeds
    How many feeds it carries, and how fast they are opened.
choice
    Which other agent takes what this one cannot.
come_back
    When a refused caller should return.
retry_budget
    Budget for the system's own retries.
"""
