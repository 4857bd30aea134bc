"""Codecs and sockets: what every slice sends and receives goes through here.

Modules
-------
messages
    Numbered message classes and their msgpack codec.
frames
    Authentic frames with replay protection round one message.
datagrams
    The UDP endpoint that a process has for frames.
calls
    Request and reply over pynng, for control only.
fabric
    PROXY protocol v2 datagrams from and to the fabric.
coap
    CoAP messages, as far as this project needs them.
"""
