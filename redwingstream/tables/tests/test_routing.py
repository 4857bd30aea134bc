"""Lookup of the route for a caller and a service."""

import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.tables.routing import Routing
from redwingstream.tables.rows import Route

SERVICE = '127.0.0.1:5683'
ROUTES = (
    Route(SERVICE, 'public'),
    Route(SERVICE, 'staff', '10.1.0.0/16'),
    Route(SERVICE, 'field', '10.1.2.0/24'),
)


class TestRouting:
    """The route with the longest prefix that contains the caller applies."""

    @pytest.mark.parametrize(
        ('host', 'pool'),
        [
            ('192.168.0.1', 'public'),
            ('10.1.9.1', 'staff'),
            ('10.1.2.3', 'field'),
        ],
    )
    def test_finds_the_most_specific_route(self, host: str, pool: str) -> None:
        routing = Routing({route.key: route for route in ROUTES})
        found = routing.find(SERVICE, Endpoint(host, 1))
        assert found is not None
        assert found.pool == pool

    def test_finds_none_for_another_service(self) -> None:
        routing = Routing({route.key: route for route in ROUTES})
        assert routing.find('127.0.0.1:1', Endpoint('10.1.2.3', 1)) is None

    def test_an_ipv6_caller_matches_no_ipv4_network(self) -> None:
        routing = Routing({route.key: route for route in ROUTES})
        assert routing.find(SERVICE, Endpoint('::1', 1)) is None
