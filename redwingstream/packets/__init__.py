"""Flows forwarded packet by packet, between callers and backend servers.

Modules
-------
flow
    What a packet's header says, and who reads it.
envelopes
    What balancers and agents send each other around a packet.
ranking
    In which order agents are asked about a flow.
bounded
    Tables with a size and an age limit.
steering
    A balancer's decisions.
carrying
    An agent's decisions.
"""
