"""Fake dispatchers and backend servers for benchmarks and tests.

They run in one process without sockets and replace the peer network of a
query controller, so virtual time is possible.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any, Final, cast

from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, MEMBERS, SERVERS
from boragespool.controllers.context import Context, Identity
from boragespool.messages import (
    CancelWork,
    Holding,
    Item,
    MemberRecord,
    ServerRecord,
    WorkReply,
    WorkRequest,
)
from boragespool.results import Failure, ResultCode
from boragespool.revisions import RevisionDocument
from boragespool.settings import (
    HedgingSettings,
    RouteSettings,
    ServerSettings,
    ServiceSettings,
    Settings,
)
from boragespool.timers import LoopTimers
from boragespool.types import (
    KEY_SPACE_SIZE,
    MemberStatus,
    Rank,
    RunState,
    ServerState,
    WorkKind,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragespool.peers import PeerNetwork
    from boragespool.types import HostName, Seconds, ServerName

#: Stands for no timeout: longer than any query.
_NO_TIMEOUT_S: Final = 600


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Size and settings of a fake fleet.

    Attributes
    ----------
    shard_count, replica_count : int
        Number of shards, and of backend servers that hold each shard.
    host_count : int
        Number of daemons that dispatch work.
    slots : int
        Number of requests that one backend server runs at the same time.
    one_way_delay_s : float
        Network delay of a message, in seconds.
    deadline_s : float
        Deadline of the route, in seconds.
    canary : bool
        Value of `RouteSettings.canary` of the route.
    hedging : HedgingSettings
        Hedging settings of all routes.
    """

    shard_count: int = 30
    replica_count: int = 3
    host_count: int = 6
    slots: int = 5
    one_way_delay_s: Seconds = 0.0005
    deadline_s: Seconds = 0.39
    canary: bool = False
    hedging: HedgingSettings = field(default_factory=HedgingSettings)


class FakeFleet:
    """Replaces `PeerNetwork` for the merger, the daemon that runs a query.

    Parameters
    ----------
    options : FleetOptions
        Size and settings.
    seed : int
        Seed of all random choices.

    Attributes
    ----------
    rng : random.Random
        Random numbers of the fleet and of the merger.
    service_time_s : callable
        Returns the time to run the next request, in seconds.
    behaviour_by_server : dict
        Behaviour of servers that do not answer normally: a function of the
        request that returns a reply, or None for no reply.
    holds : callable
        Whether the server of a request holds its version and range.
    requests_by_server, started_by_server : Counter
        Number of requests sent to each server, and of those that it started.
    requests : list of WorkRequest
        All requests in the order of arrival.
    cancel_count : int
        Number of `CancelWork` messages received.
    board : Blackboard
        Configuration, members and servers that the merger reads.
    """

    def __init__(self, options: FleetOptions, seed: int) -> None:
        """Set up the fleet and post its state on a new blackboard."""
        self.options = options
        self.rng = random.Random(seed)
        self.service_time_s: Callable[[], Seconds] = lambda: 0.01
        self.behaviour_by_server: dict[
            ServerName,
            Callable[[WorkRequest], WorkReply | Failure | None],
        ] = {}
        self.holds: Callable[[WorkRequest], bool] = lambda _: True
        self.requests_by_server: Counter[ServerName] = Counter()
        self.started_by_server: Counter[ServerName] = Counter()
        self.requests: list[WorkRequest] = []
        self.cancel_count = 0
        self._slots_by_server: dict[ServerName, asyncio.Semaphore] = {}
        self._tasks_by_id: dict[str, asyncio.Task[Any]] = {}
        self.board = Blackboard()
        self.post()

    def context(self) -> Context:
        """Return the controller context of a merger in this fleet."""
        return Context(
            Identity('merger', 1, 'dc', 'region', '', ''),
            self.board,
            LoopTimers(),
            cast('PeerNetwork', self),
            self.rng.random,
        )

    def post(self) -> None:
        """Post settings, daemons and servers; all servers hold version 1."""
        self.post_members(
            [f'host{number}' for number in range(self.options.host_count)],
        )
        records = dict(map(self._server_record, self._shards_and_names()))
        self.board.post(SERVERS, records)
        servers = {
            name: ServerSettings('', 'dc', host=name) for name in records
        }
        settings = Settings(
            services={
                'search': ServiceSettings(self.options.slots, 40, servers),
            },
            routes={
                'find': RouteSettings(
                    'search',
                    Rank.ROUTINE,
                    WorkKind.QUERY,
                    self.options.deadline_s * 1_000,
                    canary=self.options.canary,
                ),
            },
            hedging=self.options.hedging,
        )
        self.board.post(
            DOCUMENT_IN_FORCE, RevisionDocument(1, 'change', settings)
        )

    def post_members(self, hosts: Iterable[HostName]) -> None:
        """Replace the members by daemons with the given names."""
        members = {
            host: MemberRecord(
                host, 1, 1, MemberStatus.ALIVE, 'dc', 'region', '', ''
            )
            for host in hosts
        }
        self.board.post(MEMBERS, members)

    def announce(self, server: ServerName, **changes: Any) -> None:
        """Post the record of one server with some fields changed."""
        known = self.board.read(SERVERS)
        changed = {server: replace(known[server], **changes)}
        self.board.post(SERVERS, {**known, **changed})

    async def request(
        self,
        host: HostName,
        message: WorkRequest,
        timeout_s: Seconds,
    ) -> WorkReply | Failure:
        """Replace `PeerNetwork.request`."""
        self.requests_by_server[message.server] += 1
        self.requests.append(message)
        task = asyncio.ensure_future(self._serve(message))
        self._tasks_by_id[message.attempt_id] = task
        task.add_done_callback(
            lambda _: self._tasks_by_id.pop(message.attempt_id, None),
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(task)
        except TimeoutError:
            return Failure(
                ResultCode.PEER_UNREACHABLE,
                f'peer {host!r} did not answer',
                RunState.UNKNOWN,
            )

    def request_with_callback(
        self,
        host: HostName,
        message: WorkRequest,
        on_result: Callable[[WorkReply | Failure], None],
    ) -> Callable[[], object]:
        """Replace `PeerNetwork.request_with_callback`, without a timeout."""

        def finish(done: asyncio.Task[WorkReply | Failure]) -> None:
            if not done.cancelled():
                on_result(done.result())

        task = asyncio.ensure_future(self.request(host, message, _NO_TIMEOUT_S))
        task.add_done_callback(finish)
        return task.cancel

    def send(self, host: HostName, message: object) -> bool:
        """Deliver `CancelWork` after the network delay; ignore other messages."""
        if isinstance(message, CancelWork):
            self.cancel_count += 1
            asyncio.get_running_loop().call_later(
                self.options.one_way_delay_s,
                self._cancel,
                message.attempt_id,
            )
        return True

    def _cancel(self, attempt_id: str) -> None:
        task = self._tasks_by_id.get(attempt_id)
        if task is not None:
            task.cancel()

    async def _serve(self, message: WorkRequest) -> WorkReply | Failure:
        await asyncio.sleep(self.options.one_way_delay_s)
        behaviour = self.behaviour_by_server.get(message.server)
        if behaviour is None:
            reply: WorkReply | Failure | None = await self._run(message)
        else:
            reply = behaviour(message)
        await asyncio.sleep(self.options.one_way_delay_s)
        if reply is None:
            await asyncio.sleep(60)
        return reply or Failure(ResultCode.PEER_UNREACHABLE, 'silent')

    async def _run(self, message: WorkRequest) -> WorkReply:
        if not self.holds(message):
            return refuse_with(ResultCode.VERSION_NOT_HELD)(message)
        slots = self._slots_by_server.setdefault(
            message.server,
            asyncio.Semaphore(self.options.slots),
        )
        async with slots:
            self.started_by_server[message.server] += 1
            await asyncio.sleep(self.service_time_s())
            return correct_reply(message)

    def _shards_and_names(self) -> list[tuple[int, ServerName]]:
        return [
            (shard, f's{shard}r{replica}')
            for shard in range(self.options.shard_count)
            for replica in range(self.options.replica_count)
        ]

    def _server_record(
        self,
        shard_and_name: tuple[int, ServerName],
    ) -> tuple[ServerName, ServerRecord]:
        shard, name = shard_and_name
        held = (Holding(1, (shard_range(shard, self.options.shard_count),)),)
        record = ServerRecord(
            name, 'search', 'dc', '', 1, 1, 1, ServerState.SERVING, 5, held
        )
        return name, record


def shard_range(shard: int, shard_count: int) -> tuple[int, int]:
    """Return the key range ``[start, end)`` of one of several equal shards."""
    start = KEY_SPACE_SIZE * shard // shard_count
    return start, KEY_SPACE_SIZE * (shard + 1) // shard_count


def correct_reply(message: WorkRequest) -> WorkReply:
    """Return a complete reply with one item that identifies the request."""
    origin = (
        message.request_id,
        message.version,
        message.start,
        message.end,
    )
    return WorkReply(
        message.attempt_id,
        int(ResultCode.COMPLETE),
        RunState.RUN,
        message.version,
        message.start,
        message.end,
        (Item(message.start, origin),),
        item_count=1,
    )


def refuse_with(
    code: ResultCode,
    run: RunState = RunState.NOT_RUN,
) -> Callable[[WorkRequest], WorkReply]:
    """Return a server behaviour that refuses all work.

    Parameters
    ----------
    code : ResultCode
        Code of the replies.
    run : RunState, optional
        Whether the replies state that the work has run.
    """
    return lambda message: WorkReply(message.attempt_id, int(code), run)
