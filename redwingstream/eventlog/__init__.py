"""Structured event log of a process: one line of JSON for each decision.

The number of lines per second is limited, and writing never blocks the event
loop.

Modules
-------
lines
    Encodes events as lines and limits their rate.
outputs
    Writes lines without blocking: to a pipe directly, to a file in a thread.
"""
