"""The commands of the tool, a module for each kind.

Modules
-------
base
    Settings, the client, output and result codes of every command.
change
    What commands that change the tables have in common.
tables
    Commands on routes, pools and zones, and ``apply``.
members
    Commands on members: drain, status, dump.
explain
    Where a caller's traffic goes.
"""
