"""Which pool a caller's traffic belongs to."""

import functools
import ipaddress
from collections.abc import Mapping

from redwingstream.endpoints import Endpoint
from redwingstream.tables.rows import Route

_CACHED_LOOKUPS = 65536


class Routing:
    """Looks up routes of one route table.

    Parameters
    ----------
    route_by_key : mapping
        The route table; the object is made anew when the table changes.

    Notes
    -----
    Of several routes of a service the one with the longest network that holds
    the caller wins, as in any routing table.
    """

    def __init__(self, route_by_key: Mapping[str, Route]) -> None:
        self._routes_by_service: dict[str, list[Route]] = {}
        for route in sorted(
            route_by_key.values(), key=Route.prefix_length, reverse=True
        ):
            self._routes_by_service.setdefault(route.service, []).append(route)
        self.find = functools.lru_cache(maxsize=_CACHED_LOOKUPS)(self._find)

    def _find(self, service: str, caller: Endpoint) -> Route | None:
        """Return the route of a caller's traffic to a service, if any."""
        address = ipaddress.ip_address(caller.host)
        for route in self._routes_by_service.get(service, ()):
            if address in ipaddress.ip_network(route.callers):
                return route
        return None
