"""Which pool a caller's traffic belongs to."""

import functools
import ipaddress
from collections.abc import Mapping

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.tables.rows import ANY_CALLER, Route

_CACHED_LOOKUPS = 4096
_CACHED_NETWORKS = 4096

_Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@attrs.frozen
class _Choice:
    network: _Network
    route: Route


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

    Most services have one route for any caller; it is found without a look at
    the caller.  A cache by caller does not help there: the fabric sprays, so a
    balancer meets more callers than any cache holds.
    """

    def __init__(self, route_by_key: Mapping[str, Route]) -> None:
        self._choices_by_service: dict[str, list[_Choice]] = {}
        choices = [
            _Choice(_network_of(route.callers), route)
            for route in route_by_key.values()
        ]
        for choice in sorted(choices, key=_prefix_length, reverse=True):
            service = choice.route.service
            self._choices_by_service.setdefault(service, []).append(choice)
        self._only_by_service = {
            service: of_service[0].route
            for service, of_service in self._choices_by_service.items()
            if of_service[0].route.callers == ANY_CALLER
        }
        cached = functools.lru_cache(maxsize=_CACHED_LOOKUPS)
        self._find_by_host = cached(self._find)

    def find(self, service: str, caller: Endpoint) -> Route | None:
        """Return the route of a caller's traffic to a service, if any."""
        only = self._only_by_service.get(service)
        if only is not None and ':' not in caller.host:
            return only
        return self._find_by_host(service, caller.host)

    def _find(self, service: str, host: str) -> Route | None:
        address = ipaddress.ip_address(host)
        for choice in self._choices_by_service.get(service, ()):
            if address in choice.network:
                return choice.route
        return None


@functools.lru_cache(maxsize=_CACHED_NETWORKS)
def _network_of(callers: str) -> _Network:
    return ipaddress.ip_network(callers)


def _prefix_length(choice: _Choice) -> int:
    return choice.network.prefixlen
