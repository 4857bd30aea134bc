"""What every member process does: speak, follow the tables, stay known.

Modules
-------
member
    Frames, calls and membership of one process.
following
    Fetches newer tables.
metrics
    Counters, sent by statsd.
"""
