"""Structured logs: one line for each decision, bounded, never waiting.

Modules
-------
lines
    The writer: budget and encoding.
outputs
    Where lines go without waiting: a pipe, or a file by a thread.
"""
