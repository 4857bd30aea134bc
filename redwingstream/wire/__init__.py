"""Codecs and sockets for everything that processes send and receive.

Modules
-------
messages
    Numbered message classes and their msgpack codec.
frames
    Authenticated frames with replay protection, each around one message.
datagrams
    The UDP socket of a process.
calls
    Request and reply over pynng, for control and operators only.
fabric
    PROXY protocol v2 datagrams from and to the fabric.
coap
    The parts of CoAP that this project needs.
"""
