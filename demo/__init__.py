"""Demonstration of the product with stand-ins on loopback addresses.

A development tool outside the package: it starts processes, which no process of
the product does.

Modules
-------
tayside
    The demonstration itself: what it shows, in order.
layout
    Addresses and command lines of all processes.
processes
    Starts processes and ends them by their ids.
operators
    The operators' tool as a process.
checks
    What callers see, checked.
"""
