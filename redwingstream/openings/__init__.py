"""Whether a backend server is given a new flow, decided beside it.

Modules
-------
reports
    What a server says of itself, and which of its reports is the newest.
pacing
    How many new flows a cold server gets within a second.
failing
    Whether it fails its requests, whatever it says.
gate
    The decision.
"""
