"""Fake of all processes at the call interface, without sockets."""

import attrs

from redwingstream.endpoints import Endpoint
from redwingstream.errors import CallFailedError, ResultCode
from redwingstream.membership.messages import DumpAnswer, DumpRequest
from redwingstream.tables.edits import (
    ChangeAnswer,
    ChangeRequest,
    ReadTables,
    TablesRead,
)
from redwingstream.tables.messages import (
    FetchTables,
    TablesUpdate,
)
from redwingstream.tables.rows import (
    Member,
    Pool,
    PoolView,
    Role,
    Route,
    ViewMember,
    ZoneMark,
)
from redwingstream.tables.snapshot import Tables

PORT = 7000
CONTROL = tuple(Endpoint(f'127.1.0.{number}', PORT) for number in (1, 2, 3))
AGENT = Endpoint('127.3.0.1', PORT)
SERVICE = '127.8.0.1:5683'


def make_tables() -> Tables:
    """Return tables with one route, one pool and one agent."""
    view_member = ViewMember('sward-1', 4, str(AGENT), 'carse')
    return Tables(
        revision=7,
        route_by_key={
            f'{SERVICE}|0.0.0.0/0': Route(SERVICE, 'sward-live'),
        },
        pool_by_name={'sward-live': Pool('sward-live', ('sward-*',))},
        zone_by_name={'strathmore': ZoneMark('strathmore', out=True)},
        member_by_host={
            'sward-1': Member(
                'sward-1', Role.AGENT, 4, 9, str(AGENT), 'carse', 'sward-live'
            ),
        },
        view_by_pool={'sward-live': PoolView('sward-live', 5, (view_member,))},
    )


@attrs.define
class FakeFleet:
    """Answers calls like three control instances and one agent.

    Parameters
    ----------
    leader : Endpoint
        Control instance that leads.
    named : Endpoint, optional
        Control instance that the others name as the leader.
    refusal : str
        Error text of the others; empty for one that names ``named``.
    silent : set of Endpoint
        Processes that do not answer.
    lost_answers : int
        Number of answers to accepted changes that are still to be lost.
    tables : Tables
        Tables of the leader.
    agent_revision : int
        Revision of the tables in force on the agent.
    accepted : list of ChangeRequest
        Changes that were accepted.
    asked : list of Endpoint
        Endpoints of all calls, in order.
    answer_by_id : dict
        Answers to changes, by request id.
    """

    leader: Endpoint = CONTROL[0]
    named: Endpoint | None = CONTROL[0]
    silent: set[Endpoint] = attrs.field(factory=set)
    refusal: str = ''
    lost_answers: int = 0
    tables: Tables = attrs.field(factory=make_tables)
    agent_revision: int = 7
    accepted: list[ChangeRequest] = attrs.field(factory=list)
    asked: list[Endpoint] = attrs.field(factory=list)
    answer_by_id: dict[str, ChangeAnswer] = attrs.field(factory=dict)

    async def call(self, endpoint, request, answer_class, timeout=2.0):
        """Answer as the process at ``endpoint`` would."""
        self.asked.append(endpoint)
        if endpoint in self.silent:
            raise _timed_out(endpoint)
        match request:
            case DumpRequest():
                return DumpAnswer('{"host": "sward-1", "in_flight": 3}')
            case FetchTables(since=since):
                is_agent = endpoint == AGENT
                own = self.agent_revision if is_agent else self.tables.revision
                return TablesUpdate(since, own)
        self._require_leader(endpoint)
        if isinstance(request, ReadTables):
            return TablesRead(self.tables.revision, self.tables.as_update())
        return self._change(endpoint, request)

    def _require_leader(self, endpoint):
        if endpoint != self.leader:
            text = self.refusal or f'not the leader; ask {self.named or ""}'
            raise CallFailedError(text.strip(), ResultCode.NOT_LEADER)

    def _change(self, endpoint, request):
        answer = self.answer_by_id.get(request.request_id)
        if answer is None:
            answer = self._accept(request)
            self.answer_by_id[request.request_id] = answer
        if self.lost_answers:
            self.lost_answers -= 1
            raise _timed_out(endpoint)
        return answer

    def _accept(self, request):
        current = self.tables.revision
        if request.based_on != current:
            return ChangeAnswer(ResultCode.CONFLICT, 'changed since', current)
        self.accepted.append(request)
        self.tables = attrs.evolve(self.tables, revision=current + 1)
        return ChangeAnswer(ResultCode.OK, '', current + 1)


def _timed_out(endpoint):
    return CallFailedError(f'no answer from {endpoint}', ResultCode.TIMED_OUT)
