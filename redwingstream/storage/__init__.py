"""Durable state of a control instance: a synced log and snapshots.

Modules
-------
folder
    The few file operations that the rest needs, so that tests replace them.
disk
    These operations on a real data folder.
records
    Checksummed records, how they are read back and where damage stands.
store
    Identity, term, vote, entries and snapshot of a replica.
"""
