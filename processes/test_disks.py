"""Data folders of control instances are removed or damaged."""

import pathlib
import re
import shutil
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from demo.layout import BALANCERS, CONTROLS, SERVERS
from processes.cluster import Cluster, edits_of, open_cluster, until
from processes.traffic import Submissions, listening
from redwingstream.errors import CallFailedError, ResultCode
from redwingstream.tables.edits import (
    ChangeRequest,
)
from standins.outcomes import Unknown

JOURNAL = 'journal'
TORN_BYTES = 5


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def cluster(tmp_path_factory) -> AsyncIterator[Cluster]:
    """Three control instances, nothing else."""
    async with open_cluster(tmp_path_factory.mktemp('disks')) as opened:
        yield opened


@pytest_asyncio.fixture(loop_scope='module')
async def serving(tmp_path_factory) -> AsyncIterator[Cluster]:
    """Three control instances that a test ruins while traffic runs."""
    folder = tmp_path_factory.mktemp('serving')
    async with open_cluster(folder, SERVERS[:2], balancers=2) as opened:
        yield opened


@pytest_asyncio.fixture(loop_scope='module')
async def doomed(tmp_path_factory) -> AsyncIterator[Cluster]:
    """Three control instances that a test ruins."""
    async with open_cluster(tmp_path_factory.mktemp('doomed')) as opened:
        yield opened


def _folder(cluster: Cluster, name: str) -> pathlib.Path:
    return cluster.layout.folder / name


async def _add_routes(cluster: Cluster, first: int) -> set[int]:
    numbers = set(range(first, first + 20))
    for number in numbers:
        await cluster.route(number)
    return numbers


async def _counts_again(cluster: Cluster, name: str) -> None:
    """Wait until an instance is a voter with everything that is accepted."""

    async def is_whole() -> bool:
        dumped = (await cluster.dump(name)).get('consensus')
        if not dumped or dumped['role'] not in {'leader', 'follower'}:
            return False
        leading = await cluster.dump(await cluster.leader())
        if not leading:
            return False
        accepted = leading['consensus']['accepted_index']
        return dumped['accepted_index'] >= accepted

    await until(is_whole, f'{name} counts again and has caught up')


def _others(name: str) -> list[str]:
    return [other for other in CONTROLS if other != name]


class TestLostFolder:
    """One data folder is gone."""

    @pytest.mark.parametrize('role', ['follower', 'leader'])
    async def test_another_one_is_lost_after_the_repair(self, cluster, role):
        """An instance dies and its disk is replaced by an empty one.

        It comes back as a new replica, catches up and is readmitted.  Then
        another instance dies, so that the repaired one is needed for every
        majority.  Nothing that was accepted is lost, and changes go on.
        """
        accepted = await _add_routes(cluster, 100 if role == 'leader' else 200)
        leader = await cluster.leader()
        lost = leader if role == 'leader' else _others(leader)[0]
        await cluster.kill(lost)
        shutil.rmtree(_folder(cluster, lost))
        accepted |= await _add_routes(cluster, 300)
        await cluster.start(lost)
        await _counts_again(cluster, lost)
        second = _others(lost)[0]
        await cluster.kill(second)
        accepted |= await _add_routes(cluster, 400)
        assert accepted <= await cluster.routes()
        await cluster.start(second)
        await _counts_again(cluster, second)


class TestDamagedFiles:
    """Files changed while the instance was down."""

    async def test_a_torn_tail_is_cut(self, cluster):
        """Power fails in the middle of a write; the last record is torn.

        The instance cuts it with a log line, starts, gets what it lacks from
        the others, and nothing accepted is lost.
        """
        accepted = await _add_routes(cluster, 500)
        torn = _others(await cluster.leader())[0]
        await cluster.kill(torn)
        journal = _folder(cluster, torn) / JOURNAL
        journal.write_bytes(journal.read_bytes()[:-TORN_BYTES])
        await cluster.start(torn)
        await _counts_again(cluster, torn)
        assert 'damaged bytes from the end of journal' in cluster.log(torn)
        assert accepted <= await cluster.routes()

    @pytest.mark.parametrize('name', [JOURNAL, 'identity', 'snapshot'])
    async def test_a_flipped_byte_stops_the_instance(self, cluster, name):
        """A byte in the middle of a file changes while the instance is down.

        It refuses to start with DATA_DAMAGED and says which file and what to
        do.  The operator moves the folder away as the text says; the instance
        comes back as a new replica, and nothing accepted is lost.
        """
        accepted = await _add_routes(cluster, 600)
        hurt = _others(await cluster.leader())[0]
        await cluster.kill(hurt)
        path = _folder(cluster, hurt) / name
        contents = bytearray(path.read_bytes())
        contents[len(contents) // 2] ^= 1
        path.write_bytes(contents)
        await cluster.start(hurt)
        assert await cluster.exit_code(hurt) == ResultCode.DATA_DAMAGED
        assert f'{name} is damaged' in cluster.log(hurt)
        assert 'move the data folder of this replica away' in cluster.log(hurt)
        shutil.move(_folder(cluster, hurt), _folder(cluster, f'{hurt}-{name}'))
        await cluster.start(hurt)
        await _counts_again(cluster, hurt)
        assert accepted <= await cluster.routes()


class TestLostMajority:
    """Two of three data folders are gone."""

    async def test_no_state_is_invented(self, doomed):
        """Two disks are lost at once, and the instances start with empty ones.

        The empty ones must not form a group of their own, since they have
        forgotten what they accepted, and the survivor is no majority.  No
        change is accepted, the refusal says why, and the survivor's folder
        still holds what was accepted.
        """
        await _add_routes(doomed, 100)
        await doomed.kill(*CONTROLS)
        before = (_folder(doomed, 'c1') / JOURNAL).read_bytes()
        for name in ('c2', 'c3'):
            shutil.rmtree(_folder(doomed, name))
        await doomed.start(*CONTROLS)

        async def is_up() -> bool:
            dumps = [await doomed.dump(name) for name in CONTROLS]
            return all(dumps)

        await until(is_up, 'all three instances answer')
        request = ChangeRequest('any', 1, edits_of(999))
        for name in CONTROLS:
            with pytest.raises(CallFailedError) as refused:
                await doomed.change_at(name, request, timeout=5)
            assert 'no majority' in str(refused.value)
            assert refused.value.code is ResultCode.NO_QUORUM
        assert not await doomed.leaders()
        dumps = [await doomed.dump(name) for name in ('c2', 'c3')]
        told = [
            (dumped['consensus']['role'], dumped['tables']['routes'])
            for dumped in dumps
        ]
        assert told == [('fresh', []), ('fresh', [])]
        after = (_folder(doomed, 'c1') / JOURNAL).read_bytes()
        assert after.startswith(before)

    async def test_operators_go_on_from_the_survivor(self, serving):
        """The disks of two instances are lost; the third one lagged behind.

        The operators recover it: the command first says what would be lost and
        wants that confirmed.  Balancers and agents that have taken up changes
        which are lost now must go by the recovered tables as well.  Feeds go
        on all the while, the lost instances come back with empty folders, and
        from then on any of the three may be lost.
        """
        accepted = await _add_routes(serving, 100)
        left = _others(await serving.leader())[0]
        lost = _others(left)
        async with listening(serving, 4) as feeds:
            await serving.kill(left)
            gone = await _add_routes(serving, 200)
            await serving.until_in_force(*BALANCERS[:2])
            await serving.kill(*lost)
            for name in lost:
                shutil.rmtree(_folder(serving, name))
            await _recover(serving, left)
            await serving.start(*CONTROLS)
            for name in CONTROLS:
                await _counts_again(serving, name)
            accepted |= await _add_routes(serving, 300)
            await serving.until_in_force(*BALANCERS[:2], 'sward-1', 'sward-2')
            await _is_told_unknown(serving)
            for name in BALANCERS[:2]:
                numbers = await _routes_at(serving, name)
                assert numbers >= accepted
                assert not numbers & gone
            await serving.kill(left)
            assert await serving.routes() >= accepted
            await feeds.go_on()


async def _is_told_unknown(cluster: Cluster) -> None:
    """Submit a reading: it may be a replay of one that the lost views ran."""
    readings = Submissions(cluster)
    await readings.submit(cluster.callers.one_more(), 1)
    outcomes = list(readings.outcome_by_digest.values())
    assert isinstance(outcomes[0], Unknown)
    assert not readings.runs()


async def _recover(cluster: Cluster, name: str) -> None:
    """Recover an instance as an operator does, in two steps."""
    command = cluster.command(name)
    command[command.index('control')] = 'recover'
    await cluster.fleet.start(f'{name}-asks', command)
    code = await cluster.exit_code(f'{name}-asks')
    assert code == ResultCode.BAD_SETTING, cluster.log(f'{name}-asks')
    found = re.search(
        r'--lose-changes-after\s+\d+', cluster.log(f'{name}-asks')
    )
    await cluster.fleet.start(
        f'{name}-recovers', [*command, *found.group().split()]
    )
    code = await cluster.exit_code(f'{name}-recovers')
    assert code == ResultCode.OK, cluster.log(f'{name}-recovers')


async def _routes_at(cluster: Cluster, name: str) -> set[int]:
    """Return the numbers of the test's routes that a process goes by."""
    dumped = await cluster.dump(name)
    keys = dumped['tables']['route_by_key']
    services = [key.split('|')[0] for key in keys]
    return {
        int(service.split(':')[1])
        for service in services
        if service.startswith('10.')
    }
