"""Counters, levels and latency histograms of a process, as text on request.

Modules
-------
histogram
    Counts of durations by size.
families
    Every family that a role shows, with its meaning.
exposition
    The text.
"""
