"""What every stand-in process needs: logs, a loop and an end by signal."""

import asyncio
import signal

from absl import flags, logging


def set_up_logs(verbosity: int = logging.INFO) -> None:
    """Write logs to standard error from the given level on."""
    # The stand-ins read their flags with argparse; without this absl warns
    # that its own are not parsed.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(verbosity)
    logging.use_absl_handler()


async def wait_for_end() -> None:
    """Return once the process is asked to end (SIGTERM or SIGINT)."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()
