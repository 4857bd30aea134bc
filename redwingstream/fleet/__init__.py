"""The roles that forward flows packet by packet: sockets, timers and their end.

Modules
-------
deployment
    What a process is told at its start.
process, delays
    What every role has: log, signals, duties; whether it has stood still.
balancer, agent, control
    The roles.
following, routes, sending
    What balancers and agents do alike: ask control instances, go by tables,
    send.
reporting
    What an agent does with its server's reports.
registry, replication, outcomes
    What a control instance answers, and what becomes of changes.
events
    What changes what a process believes.
observed
    Counters, gauges and histograms of each role.
"""
