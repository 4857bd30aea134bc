"""Structured logs: one line for each decision, bounded, never waiting.

Modules
-------
lines
    The writer: budget, encoding, standard output.
"""
