"""Tests of the tool as a process, against one fake control instance."""

import asyncio
import contextlib
import json
import os
import socket
import sys

import attrs
import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.errors import ResultCode
from redwingstream.operators.tests.fakes import FakeFleet
from redwingstream.wire.calls import serve_calls
from redwingstream.wire.frames import FrameCodec

KEY = b'0123456789abcdef'


def free_endpoint():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return Endpoint(*probe.getsockname())


@pytest.fixture
def key_path(tmp_path):
    """Return the path of a valid key file."""
    path = tmp_path / 'key'
    path.write_bytes(KEY)
    path.chmod(0o600)
    return path


@pytest.fixture
async def run_tool(key_path):
    """Return a function that runs the tool against a fake control instance."""
    endpoint = free_endpoint()
    fleet = FakeFleet(leader=endpoint)
    fleet.tables = attrs.evolve(fleet.tables, member_by_host={})
    environ = {
        **os.environ,
        'REDWINGSTREAM_CONTROL': str(endpoint),
        'REDWINGSTREAM_KEY_FILE': str(key_path),
    }

    async def run(*arguments):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'redwingstream.operators.tool',
            *arguments,
            env=environ,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()

    run.endpoint = str(endpoint)

    async def handle(request):
        return await fleet.call(endpoint, request, object)

    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(
            serve_calls(endpoint, FrameCodec(KEY), handle)
        )
        yield run


class TestTool:
    async def test_change_then_list(self, run_tool):
        code, output, _ = await run_tool('zone', 'out', 'carse', '--wait')
        assert code == ResultCode.OK
        assert output.splitlines() == [
            'accepted at revision 8',
            'in force on every process',
        ]
        code, output, _ = await run_tool('pool', 'list', '--json')
        assert code == ResultCode.OK
        assert json.loads(output)[0]['name'] == 'sward-live'

    async def test_apply_asks_for_confirmation(self, run_tool, tmp_path):
        path = tmp_path / 'tables.toml'
        path.write_text('zones = []')
        code, output, errors = await run_tool('apply', str(path))
        assert (code, output) == (ResultCode.OK, '')
        assert '- zone strathmore: out' in errors
        assert 'nothing was changed' in errors
        code, output, _ = await run_tool('apply', str(path), '--yes', '--json')
        assert code == ResultCode.OK
        assert json.loads(output)['revision'] == 8

    async def test_dump_is_indented_unless_json(self, run_tool):
        code, output, _ = await run_tool('dump', '127.0.0.1:1')
        assert code == ResultCode.TIMED_OUT
        code, output, _ = await run_tool('dump', run_tool.endpoint)
        assert (code, output.count('\n')) == (ResultCode.OK, 4)
        code, output, _ = await run_tool('dump', run_tool.endpoint, '--json')
        assert (code, output.count('\n')) == (ResultCode.OK, 1)

    async def test_settings_are_validated(self, run_tool, key_path):
        code, _, errors = await run_tool('status', '--timeout', 'soon')
        assert code == ResultCode.BAD_SETTING
        assert "--timeout has value 'soon'" in errors
        key_path.chmod(0o644)
        code, output, _ = await run_tool('status', '--json')
        assert code == ResultCode.KEY_FILE_OPEN
        assert json.loads(output)['name'] == 'KEY_FILE_OPEN'

    async def test_conflict_has_its_exit_code(self, run_tool):
        code, _, errors = await run_tool('drain', 'a', '--based-on', '3')
        assert code == ResultCode.CONFLICT
        assert 'current revision 7' in errors
