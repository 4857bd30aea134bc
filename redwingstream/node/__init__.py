"""Parts that balancers and agents share.

Modules
-------
member
    Frames, calls and membership of one process.
tables_follower
    Fetches newer tables from other processes.
guard
    Counts and logs unexpected errors.
metrics
    Counters, sent to statsd.
"""
