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
steering, choosing, trust, dead_flows
    A balancer's decisions: where a packet goes, whom it doubts, and which flows
    no server holds any more.
carrying, admitting, searching, waiting, flowbook, site
    An agent's decisions: on new flows and on open ones, and what they share.
refusing
    How a packet ends that cannot be forwarded.
events, effects
    What is logged, and what is sent.
"""
