"""Processes of the roles that forward flows packet by packet.

They open the sockets, run the periodic tasks, and connect the messages of
:mod:`redwingstream.directory` to the modules that decide.

Modules
-------
deployment
    Settings of a process.
process, delays
    Parts that every role has: event log, signals, periodic tasks, and
    detection of times in which the process did not run.
balancer, agent, control
    The roles.
control_client, routes, packet_sender
    Parts that balancers and agents share: polling of control instances, use of
    the tables, sending of packets.
server_reports, server_probe
    Reports of the backend server beside an agent, and the check whether its
    process has ended.
inquiry_handler, replication, outcomes, fleet_record_store
    Parts of a control instance: answers to inquiries, its replica, the wait
    for the outcome of a change, and the fleet record on its disk.
events
    Log events of changes in what a process knows.
observed
    Metrics of each role.
"""
