"""The operators' side: reads and changes the tables, shows what is in force.

Modules
-------
settings
    Where the control instances are and which key to use.
client
    Finds the leader; reads, changes and asks.
plans
    What a file of tables would change.
overview
    Members and the revision in force on each process.
explain
    Where a caller's traffic goes, and why.
rowchecks
    Checks rows before they are sent.
rendering, reports, columns
    Human and JSON output.
commands, tool
    The command line.
"""
