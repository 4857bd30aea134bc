"""Loopback networks, one for each site that runs at a time."""

import contextlib
import random
import socket
from collections.abc import Callable, Iterator, Sequence

RESERVING_HOST = '255.254'
RESERVING_PORT = 8999
"""Where no process of any site listens."""


@contextlib.contextmanager
def reserved_network(
    networks: Sequence[int], is_free: Callable[[int], bool]
) -> Iterator[int]:
    """Keep a network, drawn at random, until the end of the block.

    Two sites that start beside each other and only looked for a free network
    could both take the same one: neither has bound its ports yet, and then each
    finds some of them taken and never comes up.

    Parameters
    ----------
    networks : sequence of int
        Second numbers of ``127.N``.
    is_free : callable
        Whether nobody else uses a network.

    Raises
    ------
    OSError
        When all are taken.
    """
    for network in random.SystemRandom().sample(networks, len(networks)):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            host = f'127.{network}.{RESERVING_HOST}'
            if _can_bind(sock, host) and is_free(network):
                yield network
                return
    raise OSError(f'all networks 127.{networks[0]} to 127.{networks[-1]} taken')


def _can_bind(sock: socket.socket, host: str) -> bool:
    try:
        sock.bind((host, RESERVING_PORT))
    except OSError:
        return False
    return True
