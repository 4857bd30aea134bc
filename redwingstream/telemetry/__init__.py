"""Metrics of a process: counters, gauges and histograms of durations.

They are rendered in the Prometheus text format when the metrics address is
requested.

Modules
-------
histogram
    Histogram of durations.
families
    All metric families, with their meaning.
exposition
    Renders samples as text.
"""
