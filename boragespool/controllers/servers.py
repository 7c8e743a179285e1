"""Polls backend servers, announces their records and merges those of peers."""

from __future__ import annotations

import contextlib
import itertools
import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final, Self, TypeAlias

from boragespool.blackboard.topics import (
    IN_FORCE,
    LEAVING_HOSTS,
    MEMBERS,
    OBSERVATIONS,
    SERVERS,
)
from boragespool.controllers.server_polls import PollHooks, ServerPolls
from boragespool.controllers.server_records import (
    RecordTable,
    holdings_of,
    recently_draining,
    servers_of,
    view_of,
)
from boragespool.events import Event, log_event
from boragespool.messages import ServerAnnouncement, ServerRecord
from boragespool.routing import DispatcherAssignment
from boragespool.settings import Settings
from boragespool.types import (
    DataCentre,
    HostName,
    Incarnation,
    MemberStatus,
    ServerName,
    ServerState,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.blackboard.topics import ServerObservation
    from boragespool.controllers.backend_protocol import BackendStatus
    from boragespool.controllers.context import Context
    from boragespool.peers import Sender
    from boragespool.messages import MemberRecord
    from boragespool.types import Seconds

#: Changes within this time share one post and one announcement.
_GATHER_S: Final = 0.01
#: Announcements that may be lost before a record counts as unconfirmed.
_MISSED_ANNOUNCEMENTS: Final = 2.5
_CANDIDATE_STATUSES: Final = frozenset(
    (MemberStatus.ALIVE, MemberStatus.SUSPECT),
)
_Candidate: TypeAlias = tuple[HostName, Incarnation, DataCentre]


@dataclass(frozen=True, slots=True)
class PollOptions:
    """Times of the server controller, in seconds.

    Attributes
    ----------
    poll_interval_s, poll_timeout_s : float
        A sign of leaving is seen after at most the sum of both.
    announce_interval_s : float
        Time between two announcements of all own records, as messages can
        be lost.
    """

    poll_interval_s: Seconds = 1
    poll_timeout_s: Seconds = 0.8
    announce_interval_s: Seconds = 10


class ServerController:
    """Posts `SERVERS`, an async context manager."""

    def __init__(
        self,
        context: Context,
        options: PollOptions | None = None,
    ) -> None:
        """Keep the parts; `__aenter__` begins to poll."""
        self._context = context
        self._options = options or PollOptions()
        self._table = RecordTable(
            _MISSED_ANNOUNCEMENTS * self._options.announce_interval_s,
        )
        self._polls = ServerPolls(
            context.timers,
            self._options.poll_timeout_s,
            PollHooks(self._answered, self._lose),
        )
        self._assignment = DispatcherAssignment()
        self._refused_at_s: dict[ServerName, Seconds] = {}
        self._changed: set[ServerName] = set()
        self._candidates: frozenset[_Candidate] = frozenset()
        self._sequences = itertools.count(1)
        self._post_is_due = False
        self._stack = contextlib.ExitStack()

    async def __aenter__(self) -> Self:
        """Poll and listen to announcements from now on."""
        context = self._context
        context.peers.on_message(ServerAnnouncement, self._receive)
        for subscription in (
            context.board.subscribe(MEMBERS, self._follow_members),
            context.board.subscribe(IN_FORCE, self._assign),
            context.board.subscribe(OBSERVATIONS, self._observed),
            context.board.subscribe(LEAVING_HOSTS, self._post_soon),
        ):
            self._stack.callback(subscription)
        for interval_s, tick in (
            (self._options.poll_interval_s, self._poll_all),
            (self._options.announce_interval_s, self._announce_all),
        ):
            timer = context.timers.every(interval_s, tick)
            self._stack.callback(timer.cancel)
        self._follow_members(context.board.read(MEMBERS))
        self._assign()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop polling and close the connections."""
        self._stack.close()
        await self._polls.close()

    def _settings(self) -> Settings:
        document = self._context.board.read(IN_FORCE)
        return Settings() if document is None else document.settings

    def _follow_members(
        self,
        members_by_host: Mapping[HostName, MemberRecord],
    ) -> None:
        """Tell newcomers the own records; reassign if candidates changed."""
        candidates = frozenset(
            (member.host, member.incarnation, member.data_centre)
            for member in members_by_host.values()
            if member.status in _CANDIDATE_STATUSES
        )
        if candidates == self._candidates:
            return
        newcomers = {host for host, _, _ in candidates - self._candidates}
        self._candidates = candidates
        self._assign()
        records = self._table.owned(self._polls.servers)
        for host in newcomers - {self._context.identity.host}:
            if records:
                self._context.peers.send(host, ServerAnnouncement(records))

    def _assign(self, _posted: object = None) -> None:
        """Find the dispatcher of each server; poll what became ours."""
        servers = servers_of(self._settings())
        self._assignment.set_servers(
            {name: server.data_centre for name, server in servers.items()},
        )
        self._assignment.set_candidates(
            {host: site for host, _, site in self._candidates},
        )
        if self._context.board.read(IN_FORCE) is not None:
            self._table.keep_only(servers)
        own = self._context.identity.host
        for name, server in servers.items():
            if self._assignment.dispatcher(name) == own:
                self._polls.add(name, server.address)
        for polled in self._polls.servers:
            if self._assignment.dispatcher(polled) != own:
                self._polls.remove(polled)
        self._post_soon()

    def _poll_all(self) -> None:
        for server in self._polls.servers:
            self._polls.poll(server)
        self._post_soon()

    def _lose(self, server: ServerName) -> None:
        record = self._known_or_new(server)
        self._update(server, replace(record, state=ServerState.LOST))

    def _known_or_new(self, server: ServerName) -> ServerRecord:
        known = self._table.by_server.get(server)
        if known is not None:
            return known
        service, where = next(
            (name, service.servers[server])
            for name, service in self._settings().services.items()
            if server in service.servers
        )
        return ServerRecord(
            server=server,
            service=service,
            data_centre=where.data_centre,
            dispatcher='',
            dispatcher_incarnation=0,
            sequence=0,
            incarnation=0,
            state=ServerState.COLD,
            limit=1,
        )

    def _answered(self, server: ServerName, status: BackendStatus) -> None:
        """Keep what a status says; only own observations set the limit."""
        observation = self._context.board.read(OBSERVATIONS).get(server)
        state = status.state
        if recently_draining(observation, self._context.timers.now_s()):
            state = ServerState.DRAINING
        elif state == ServerState.LOST:
            # A server that answers is there, whatever it reports.
            state = ServerState.SERVING
        record = replace(
            self._known_or_new(server),
            incarnation=status.incarnation,
            state=state,
            limit=1 if observation is None else observation.limit,
            holdings=holdings_of(status),
        )
        self._update(server, record)

    def _update(self, server: ServerName, record: ServerRecord) -> None:
        """Keep an own record; a change gets the next sequence number."""
        identity = self._context.identity
        known = self._table.by_server.get(server)
        record = replace(
            record,
            dispatcher=identity.host,
            dispatcher_incarnation=identity.incarnation,
            sequence=0 if known is None else known.sequence,
        )
        if record != known:
            record = replace(record, sequence=next(self._sequences))
            self._changed.add(server)
            self._post_soon()
        self._table.merge(record, identity.host, self._context.timers.now_s())

    def _observed(
        self,
        observations: Mapping[ServerName, ServerObservation],
    ) -> None:
        """Treat draining replies and refused connections at once."""
        now_s = self._context.timers.now_s()
        for server in self._polls.servers:
            observation = observations.get(server)
            if observation is None:
                continue
            record = self._table.by_server.get(server)
            if record is not None and recently_draining(observation, now_s):
                state = ServerState.DRAINING
                self._update(server, replace(record, state=state))
            if observation.refused_at_s > self._refused_at_s.get(
                server,
                -math.inf,
            ):
                self._refused_at_s[server] = observation.refused_at_s
                self._polls.poll(server)
        self._post_soon()

    def _receive(self, _sender: Sender, message: ServerAnnouncement) -> None:
        now_s = self._context.timers.now_s()
        # Before the first revision any server may turn out to be configured.
        has_settings = self._context.board.read(IN_FORCE) is not None
        for record in message.records:
            if not has_settings or record.server in self._assignment:
                current = self._assignment.dispatcher(record.server)
                self._table.merge(record, current, now_s)
        self._post_soon()

    def _announce_all(self) -> None:
        self._changed.update(self._polls.servers)
        self._post_soon()

    def _post_soon(self, _posted: object = None) -> None:
        if not self._post_is_due:
            self._post_is_due = True
            self._context.timers.after(_GATHER_S, self._post)

    def _post(self) -> None:
        """Post the view and announce the own records that changed."""
        self._post_is_due = False
        board = self._context.board
        before = board.read(SERVERS)
        view = view_of(
            self._settings(),
            self._table.by_server,
            board.read(OBSERVATIONS),
            board.read(LEAVING_HOSTS),
            self._context.timers.now_s(),
        )
        board.post(SERVERS, view)
        _log_changes(before, view)
        self._announce()

    def _announce(self) -> None:
        owned = self._polls.servers
        records = self._table.owned(self._changed.intersection(owned))
        self._changed.clear()
        if not records:
            return
        for host in self._context.board.read(MEMBERS):
            if host != self._context.identity.host:
                self._context.peers.send(host, ServerAnnouncement(records))


def _log_changes(
    before: Mapping[ServerName, ServerRecord],
    view: Mapping[ServerName, ServerRecord],
) -> None:
    for server, record in view.items():
        state_before = before[server].state if server in before else None
        if state_before != record.state:
            log_event(
                Event.SERVER_STATE_CHANGED,
                f'the state of server {server!r} changed',
                server=server,
                state=record.state,
                before=state_before,
            )
