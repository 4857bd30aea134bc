"""A layer-4 load balancer that keeps established flows through planned changes.

The names here are the nouns that users of the package meet first: the rows of
the operators' tables, endpoints, and errors with their result codes.  The
processes are started as ``redwingstreamd`` (:mod:`redwingstream.daemon`) and
``redwingstream`` (:mod:`redwingstream.operators.tool`).

Notes
-----
Every process pays for what is imported here, so nothing that brings sockets,
CoAP or the command line may stand in this module.
"""

from redwingstream.endpoints import Endpoint
from redwingstream.errors import RedwingstreamError, ResultCode
from redwingstream.tables.rows import Pool, Route, ZoneMark

__version__ = '0.1.0'

__all__ = (
    'Endpoint',
    'Pool',
    'RedwingstreamError',
    'ResultCode',
    'Route',
    'ZoneMark',
    '__version__',
)
