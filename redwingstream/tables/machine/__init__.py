"""The replicated state machine: tables, members, views, operators' answers.

Modules
-------
messages
    Commands besides the operators' changes.
state
    Everything that entries change, and how it is stored.
machine
    Applies entries, one after the other.
changes, checks
    Operators' changes: conflicts, resends, rows and what a change empties.
members, views
    Admission of members, and the views that follow from them.
deltas
    What changed since a recent revision.
"""
