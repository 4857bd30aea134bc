"""Stand-ins for what surrounds the product, each a process of its own.

They speak published protocols only, CoAP over UDP and PROXY protocol v2, and
serve the demonstration and the tests.

Modules
-------
fabric
    Sprays callers' packets over the balancers.
backend, server
    A backend server as a process, and what is on its socket.
work
    What a backend server can bear: slots, cold start, draining.
resources
    What a backend server answers.
caller
    A caller as a process.
client
    A caller as a library.
jobs
    Requests that run or wait at a backend server.
feeds
    Observers of a backend server.
blocks, observation, outcomes
    What a caller makes of the answers.
reliable
    Confirmable messages with retransmission (RFC 7252).
"""
