"""Commands of the operators' tool, one module for each kind.

Modules
-------
base
    Common to all commands: settings, client, output and result codes.
change
    Common to all commands that change the tables.
tables
    Commands on routes, pools and zones, and ``apply``.
members
    Commands on members: drain, undrain, status, dump.
explain
    Explains where a caller's traffic goes.
logs
    Shows the history of a flow from event logs.
"""
