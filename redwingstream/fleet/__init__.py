"""The roles that forward flows packet by packet: sockets, timers and their end.

Modules
-------
deployment
    What a process is told at its start.
following
    Asking the control instances, for balancers and agents.
balancer, agent, control
    The roles.
observed
    Counters and histograms as text.
running
    Signals, and the loop of a process.
"""
