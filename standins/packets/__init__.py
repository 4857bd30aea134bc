"""Stand-ins for the users' platform: routers, callers, servers, operators.

They speak what the platform's pages publish, byte by byte, and share no code
with ``platform/``: a mistake there must not be made here as well.

Modules
-------
header
    The header of a packet, as an end reads and writes it.
callers
    Callers and the routers that spread their packets.
servers
    Backend servers beside an agent.
calls
    HTTP/1.1 as operators and servers use it.
operators
    An operator of the configuration.
settings
    The settings file of a process.
"""
