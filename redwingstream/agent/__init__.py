"""The process beside a backend server: admits, runs, remembers, hands over.

Modules
-------
parts
    The decision objects of one agent, put together.
intake, held, reactions
    Take callers' packets: check them and find who decides.
home
    Decides on the flows of the buckets of which this agent is home.
once
    Non-idempotent requests at their home.
carrier, waiting, runs
    Runs requests on the server beside this agent.
assignments, assigned
    Requests that another agent runs for their home, seen from both.
feeds, openings
    Feeds of the server beside this agent.
moves, feed_checks
    Feeds that change their carrier.
store
    Ledger, flows and transfers, bucket by bucket.
core, keeper_side, server_side
    All of these behind one door, without I/O.
role
    The process: sockets and timers round the core.
"""
