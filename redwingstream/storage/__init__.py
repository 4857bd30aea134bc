"""Durable state of a control instance: a journal and snapshots.

Modules
-------
folder
    Interface of the file operations, which tests replace by a fake.
disk
    File operations on a real data folder.
records
    Encoding of checksummed records, and detection of damage.
store
    Identity, term, vote, log entries and snapshot of a replica.
"""
