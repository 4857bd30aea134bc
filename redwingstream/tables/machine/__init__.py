"""State machine that control instances replicate by their log.

Its state holds the tables, including members and views, and the latest answers
to operators.

Modules
-------
messages
    Commands in log entries, besides changes by operators.
state
    The replicated state and its serialization.
state_machine
    Application of log entries in order.
changes, checks
    Changes by operators: conflicts, retries, validation of rows and detection
    of pools that a change empties.
replacements
    Replacement of the whole configuration.
members, views
    Admission and removal of members, and the views computed from them.
recent_changes
    Rows that recent revisions changed.
"""
