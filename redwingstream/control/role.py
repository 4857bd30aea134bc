"""Lifetime of a control instance's files and sockets."""

import contextlib
from collections.abc import Iterator

from absl import logging

from redwingstream.control.instance import ControlInstance
from redwingstream.control.settings import ControlSettings
from redwingstream.errors import SettingError
from redwingstream.storage.disk import open_folder
from redwingstream.storage.folder import Folder
from redwingstream.wire.calls import MAX_CALL_SIZE, serve_calls
from redwingstream.wire.datagrams import open_datagrams
from redwingstream.wire.frames import FrameCodec


async def run_control(settings: ControlSettings) -> None:
    """Run a control instance until it is cancelled.

    Parameters
    ----------
    settings : ControlSettings
        Settings of the instance.

    Raises
    ------
    StorageError
        When its durable state cannot be read or written; the text says what
        to do.
    SettingError
        When its own endpoint is not among the replicas.

    Notes
    -----
    When it is cancelled, it hands its leadership over and then returns.
    """
    if settings.endpoint not in settings.replicas:
        known = ', '.join(map(str, settings.replicas))
        raise SettingError(
            f'endpoint {settings.endpoint} is not among the control '
            f'instances {known}; name it there',
        )
    with (
        open_folder(settings.data_folder) as folder,
        _open_instance(settings, folder) as instance,
    ):
        call_codec = FrameCodec(settings.key, MAX_CALL_SIZE)
        async with serve_calls(
            settings.endpoint, call_codec, instance.service.answer
        ):
            await instance.run()


@contextlib.contextmanager
def _open_instance(
    settings: ControlSettings, folder: Folder
) -> Iterator[ControlInstance]:
    instance = ControlInstance(settings, folder)
    with open_datagrams(settings.endpoint, instance.receive) as datagrams:
        instance.attach(datagrams)
        logging.info(
            'control: %s serves at %s.', settings.host, settings.endpoint
        )
        yield instance
