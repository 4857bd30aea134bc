"""Lookup of the route for a caller and a service."""

import functools
import ipaddress
from collections.abc import Mapping

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.tables.rows import ANY_CALLER, Route

_MAX_CACHED_LOOKUPS = 4096
_MAX_CACHED_NETWORKS = 4096

_Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@attrs.frozen
class _Candidate:
    network: _Network
    route: Route


class Routing:
    """Lookup in one route table.

    Parameters
    ----------
    route_by_key : mapping
        The route table.  A new object is created whenever the table changes.

    Notes
    -----
    Among the routes of a service, the one with the longest prefix that contains
    the caller applies, as in any routing table.

    Most services have a single route for all callers, which is found without
    evaluating the caller's address.  A cache by caller does not help there: the
    fabric spreads packets over all balancers, so that each of them sees more
    callers than a cache can hold.
    """

    def __init__(self, route_by_key: Mapping[str, Route]) -> None:
        self._candidates_by_service: dict[str, list[_Candidate]] = {}
        candidates = [
            _Candidate(_network_of(route.callers), route)
            for route in route_by_key.values()
        ]
        for candidate in sorted(candidates, key=_prefix_length, reverse=True):
            service = candidate.route.service
            self._candidates_by_service.setdefault(service, []).append(
                candidate
            )
        self._default_by_service = {
            service: matching[0].route
            for service, matching in self._candidates_by_service.items()
            if matching[0].route.callers == ANY_CALLER
        }
        cached = functools.lru_cache(maxsize=_MAX_CACHED_LOOKUPS)
        self._find_by_host = cached(self._find)

    def find(self, service: str, caller: Endpoint) -> Route | None:
        """Return the route of a caller's traffic to a service, or None."""
        default = self._default_by_service.get(service)
        if default is not None and ':' not in caller.host:
            return default
        return self._find_by_host(service, caller.host)

    def _find(self, service: str, host: str) -> Route | None:
        address = ipaddress.ip_address(host)
        for candidate in self._candidates_by_service.get(service, ()):
            if address in candidate.network:
                return candidate.route
        return None


@functools.lru_cache(maxsize=_MAX_CACHED_NETWORKS)
def _network_of(callers: str) -> _Network:
    return ipaddress.ip_network(callers)


def _prefix_length(candidate: _Candidate) -> int:
    return candidate.network.prefixlen
