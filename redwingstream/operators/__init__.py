"""Operators' command-line tool.

It reads and changes the tables (routes, pools, zones) through the control
instances, shows the status of all processes, and explains decisions about
callers' traffic.

Modules
-------
settings
    Settings of the tool: control instances, key file, timeout.
client
    Finds the leader; reads and changes the tables; queries processes.
plans
    Compares a file of tables with the current tables.
overview
    Collects the status of all processes.
explain
    Explains from the tables where a caller's traffic goes.
flow_history
    Reconstructs the history of one flow from event logs.
row_checks
    Validates rows before they are sent.
output, status_output, columns
    Output as text for people or as JSON.
commands, tool
    The command line.
"""
