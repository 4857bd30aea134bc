"""The process beside a backend server: admits, runs, remembers, hands over.

Modules
-------
parts
    The decision objects of one agent, put together.
intake
    Takes callers' packets: checks them and finds who decides.
home
    Decides on the flows of the buckets of which this agent is home.
once
    Non-idempotent requests at their home.
carrier
    Runs requests on the server beside this agent.
feeds
    Feeds of the server beside this agent.
moves
    Feeds that change their carrier.
core
    All of these behind one door, without I/O.
role
    The process: sockets and timers round the core.
"""
