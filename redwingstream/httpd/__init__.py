"""A small HTTP/1.1 server and its messages.

Modules
-------
messages
    Requests and responses.
server
    Connections, limits and time-outs round the parser.
"""
