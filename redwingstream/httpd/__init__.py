"""A small HTTP/1.1 server for readiness, reports, operators and metrics.

Modules
-------
messages
    Requests and responses.
assembly
    Builds requests from the bytes received, within size limits.
server
    Connections, with limits and time-outs.
"""
