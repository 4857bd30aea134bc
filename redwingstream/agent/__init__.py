"""The agent: the process beside a backend server.

An agent admits requests and feeds to its server, runs them, records them in
the buckets of which it is home or heir, and hands buckets and feeds over to
other agents.

Modules
-------
core
    Entry point of all decisions; without I/O and clock.
assembly
    Creates the modules that decide and connects them.
parts, making
    State that these modules share, and how it is created.
packet_dispatcher, held_packets, ack_relay
    Check callers' packets and hand them to the module that decides.
flow_placement
    Idempotent requests and feeds at the home of their bucket.
non_idempotent, request_endings, awaited_outcomes
    Non-idempotent requests at the home of their bucket.
request_executor, wait_queue, runs
    Run requests on the server beside this agent.
outgoing_assignments, incoming_assignments
    Requests that another agent runs for their home, at the home and at the
    agent that runs them.
feeds, feed_openings
    Feeds of the server beside this agent.
feed_moves, feed_checks
    Feeds that change their carrier.
store
    Ledger, flows and transfers, by bucket.
replies, reports
    Answers to callers, and reports to other agents.
outputs, effects, keeper_effects, server_effects
    Carry out what the decisions ask for.
message_types
    Classes of messages that an agent accepts.
runner
    Starts a core for each admitted run of the process.
role, server_sockets, status
    The process: sockets, timers and the state dump.
"""
