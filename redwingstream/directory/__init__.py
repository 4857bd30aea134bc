"""Directory of the agents and control instances that run.

Nothing in it is agreed on or durable.  Each agent sends its record
periodically to every control instance.  Balancers and agents poll the control
instances for these records and for newer tables.

Modules
-------
messages
    Inquiries, their answers, and the hellos between control instances.
packing
    Compressed encoding of agents' records.
agent_directory
    The agents as one control instance has heard them.
view
    The agents as a balancer or agent knows them, merged from the answers of
    several control instances.
contacts
    What a process keeps for each control instance that it polls.
inquiry
    Which control instances to ask next, and how their answers are applied.
control_directory
    Control instances that run, and the choice of the first replica group.
fleet_record
    What a control instance stores on disk for its next start.
"""
