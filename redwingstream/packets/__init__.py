"""Forwarding decisions for each packet between callers and backend servers.

A balancer receives packets of callers and sends each one to an agent; an agent
runs beside each backend server, delivers packets to it and sends its answers to
the callers.  The classes here decide only: they do no I/O and return what is to
be sent (:mod:`redwingstream.packets.effects`).

Modules
-------
flow
    Addresses, flow identifiers, packet headers, and the codec that reads them.
envelopes
    Messages that balancers and agents exchange, most of which carry a packet.
ranking
    Order in which the agents of a pool are tried for a flow.
bounded_table
    Tables with a maximum size and an idle time limit.
balancer_forwarder, agent_selector, opening_attempts, route_table, early_packets
    A balancer's decisions: which agent receives a packet, and packets that
    arrive before routes and agents are known.
trust, dead_flows
    Agents that do not answer a balancer, and flows that no server holds.
agent_forwarder, new_flows, open_flows
    An agent's decisions about packets, new flows and open flows.
agent_context, agent_flows, waiting_flows, lookups
    State of these decisions: the flows known to an agent, new flows that wait
    for its server, and lookups of flows that other agents may carry.
refusals
    Refusing flows and dropping packets that cannot be forwarded.
events, effects
    Log events, and the datagrams to be sent.
"""
