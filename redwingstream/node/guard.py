"""Keeps an error in one frame or one beat from stopping what follows."""

import contextlib
import traceback
from collections.abc import Iterator

from absl import logging

from redwingstream.node.metrics import Metrics

_LOG_PAUSE = 10
"""Seconds between two tracebacks in the log."""


@contextlib.contextmanager
def count_errors(what: str, metrics: Metrics) -> Iterator[None]:
    """Count an error in a block as ``failed_WHAT`` and go on.

    Notes
    -----
    Guards a task that nobody waits for against ending without a word, and the
    log against a traceback for each of many frames: a process of another
    release may send thousands a second that this one cannot use.  It holds
    since every error ends here, and the log is written to at most once in ten
    seconds while the counter shows them all.
    """
    try:
        yield
    except Exception:
        metrics.count(f'failed_{what}')
        logging.log_every_n_seconds(
            logging.ERROR,
            'node: A %s met an error: %s',
            _LOG_PAUSE,
            what,
            traceback.format_exc(),
        )
