"""A daemon that cannot start says why, with its result code."""

import asyncio
import json
import socket

import pytest

from demo.tayside import write_key
from processes.cluster import daemon, make_layout
from redwingstream.errors import ResultCode


@pytest.fixture
def layout(tmp_path):
    """Free addresses and a key file."""
    with make_layout(tmp_path, ()) as made:
        write_key(made.key_file)
        yield made


async def _run(command: list[str]) -> tuple[int, str]:
    """Run a daemon that is expected to end; return code and text."""
    process = await asyncio.create_subprocess_exec(
        *command,
        env={},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    async with asyncio.timeout(30):
        output, _ = await process.communicate()
    return process.returncode, ' '.join(output.decode().split())


def _agent(layout, **changed: str | None) -> list[str]:
    flags = {
        'host': 'sward-1',
        'zone': 'carse',
        'endpoint': f'127.{layout.network}.3.1:7000',
        'server': f'127.{layout.network}.4.1:5683',
        'pool': 'sward-live',
        'control': layout.control,
        'key-file': str(layout.key_file),
    }
    flags.update(changed)
    return daemon(
        'agent',
        *(f'--{name}={text}' for name, text in flags.items() if text),
    )


class TestKeyFile:
    """Who has the key can change the tables."""

    @pytest.mark.parametrize('mode', [0o640, 0o604, 0o620])
    async def test_a_key_that_others_can_use_is_refused(self, layout, mode):
        """The key file was copied with the wrong mode.

        The daemon does not start: a warning would be missed, and whoever reads
        the key can change the tables.  The text names the mode and the way out.
        """
        layout.key_file.chmod(mode)
        code, text = await _run(_agent(layout))
        assert code == ResultCode.KEY_FILE_OPEN
        assert f'{mode:04o}' in text
        assert 'chmod 600' in text

    async def test_a_missing_key_file(self, layout):
        """The key file was not copied to the host at all."""
        layout.key_file.unlink()
        code, text = await _run(_agent(layout))
        assert code == ResultCode.BAD_SETTING
        assert '--key-file' in text


class TestSettings:
    """A wrong setting is named, with the value met and the allowed ones."""

    @pytest.mark.parametrize(
        ('setting', 'met', 'allowed'),
        [
            ('host', 'no/name', 'letters, digits, - and _'),
            ('zone', 'a b', 'letters, digits, - and _'),
            ('endpoint', 'localhost', 'IP:PORT'),
            ('server', '127.0.0.1:99999', 'IP:PORT'),
            ('weight', '0', '1 to 10000'),
            ('weight', 'heavy', '1 to 10000'),
            ('slots', '-1', '1 to 1000000'),
            ('drain-seconds', 'nan', 'a positive number'),
            ('control', '127.0.0.1', 'comma-separated IP:PORT'),
        ],
    )
    async def test_a_bad_value(self, layout, setting, met, allowed):
        """An operator mistypes a flag; the daemon names what is wrong."""
        code, text = await _run(_agent(layout, **{setting: met}))
        assert code == ResultCode.BAD_SETTING
        assert f'setting --{setting} has value {met!r}' in text
        assert allowed in text

    @pytest.mark.parametrize('setting', ['host', 'pool', 'key-file', 'control'])
    async def test_a_missing_one(self, layout, setting):
        """A flag was forgotten; the text names it and its variable."""
        code, text = await _run(_agent(layout, **{setting: None}))
        assert code == ResultCode.BAD_SETTING
        assert f'setting --{setting} is missing' in text
        variable = setting.upper().replace('-', '_')
        assert f'REDWINGSTREAM_{variable}' in text


class TestAddressInUse:
    """Another process has the address."""

    @pytest.mark.parametrize('kind', [socket.SOCK_DGRAM, socket.SOCK_STREAM])
    @pytest.mark.parametrize('role', ['agent', 'balancer', 'control'])
    async def test_the_daemon_ends_with_its_code(self, layout, role, kind):
        """A daemon is started twice, or next to something else on its port.

        It takes frames over UDP and calls over TCP; either of them may be
        taken.  It ends with ADDRESS_IN_USE and names the address.
        """
        command = _command_of(layout, role)
        flag = next(part for part in command if part.startswith('--endpoint='))
        host, port = flag.removeprefix('--endpoint=').split(':')
        with socket.socket(socket.AF_INET, kind) as taken:
            taken.bind((host, int(port)))
            if kind == socket.SOCK_STREAM:
                taken.listen()
            code, text = await _run(command)
        assert code == ResultCode.ADDRESS_IN_USE, text
        assert f'{host}:{port}' in text
        assert 'Traceback' not in text


def _command_of(layout, role: str) -> list[str]:
    if role == 'agent':
        return _agent(layout)
    commands = layout.commands()
    return commands['b1' if role == 'balancer' else 'c1']


class TestTool:
    """The operators' tool says the same in JSON for programs."""

    async def test_an_error_is_an_object(self, layout):
        """A program calls the tool without saying where control is."""
        command = _agent(layout)[:2]
        command.extend(('redwingstream.operators.tool', 'status', '--json'))
        code, text = await _run(command)
        assert code == ResultCode.BAD_SETTING
        assert json.loads(text)['name'] == 'BAD_SETTING'
