"""Stand-ins for what surrounds the product, each a process of its own.

They speak published protocols only, CoAP over UDP and PROXY protocol v2, and
serve the demonstration and the tests.

Modules
-------
fabric
    Sprays callers' packets over the balancers.
backend
    A backend server: process, sockets and feeds.
work
    What a backend server can bear: slots, cold start, draining.
resources
    What a backend server answers.
caller
    A caller as a process.
client
    A caller as a library.
reliable
    Confirmable messages with retransmission (RFC 7252).
"""
