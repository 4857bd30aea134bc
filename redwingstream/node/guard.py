"""Contains errors, so that one frame or heartbeat cannot stop later ones."""

import contextlib
import traceback
from collections.abc import Iterator

from absl import logging

from redwingstream.node.metrics import Metrics

_LOG_PAUSE = 10
"""Minimum seconds between two tracebacks in the log."""


@contextlib.contextmanager
def count_errors(what: str, metrics: Metrics) -> Iterator[None]:
    """Count an error in the context as ``failed_WHAT``, log it and go on.

    Parameters
    ----------
    what : str
        Name of the operation in the counter and the log.
    metrics : Metrics
        Counts the errors.

    Notes
    -----
    Without this, an error would silently end a task that nobody awaits.  A
    process of another release may send thousands of unusable frames a second,
    so a traceback is logged at most once in ten seconds, while the counter
    counts all errors.
    """
    try:
        yield
    except Exception:
        metrics.count(f'failed_{what}')
        logging.log_every_n_seconds(
            logging.ERROR,
            'node: A %s ended in an error: %s',
            _LOG_PAUSE,
            what,
            traceback.format_exc(),
        )
