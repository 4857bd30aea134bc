"""The operators' tables and what every process knows of them.

Modules
-------
rows
    Route, pool, zone mark, member and view: the rows and how they are named.
snapshot
    An unchangeable copy of all tables at one revision.
messages
    How processes fetch tables and how operators change them.
"""
