"""A layer-4 load balancer that keeps established flows through planned changes.

The public names are the rows of the operators' tables, endpoints, and the base
class of errors with their result codes.  The processes are started as
``redwingstreamd`` (:mod:`redwingstream.daemon`) and ``redwingstream``
(:mod:`redwingstream.operators.tool`).

Notes
-----
Every process of the system imports this module, so it must not import large
libraries, such as those for sockets, CoAP or the command line.
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
