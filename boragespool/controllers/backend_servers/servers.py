"""Maintains the records of all backend servers and posts them as `SERVERS`.

A daemon polls the servers whose dispatcher it is, announces their records to
its peers, and gets the records of all other servers from them.
"""

from __future__ import annotations

import contextlib
import math
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Final, Self, TypeAlias

from boragespool.backends import RecordTable, next_version
from boragespool.blackboard.topics import (
    DOCUMENT_IN_FORCE,
    LEAVING_HOSTS,
    MEMBERS,
    SERVER_OBSERVATIONS,
    SERVERS,
)
from boragespool.controllers.backend_servers.record_exchange import (
    ExchangeHooks,
    ExchangeOptions,
    RecordExchange,
)
from boragespool.controllers.backend_servers.server_polls import (
    PollHooks,
    ServerPolls,
)
from boragespool.controllers.backend_servers.server_records import (
    configured_servers,
    holdings_from_status,
    initial_record,
    log_state_changes,
    recently_draining,
)
from boragespool.controllers.backend_servers.server_view import (
    ServerView,
    ViewSources,
)
from boragespool.messages import ServerRecord
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
    from boragespool.controllers.backend_servers.backend_protocol import (
        BackendStatus,
    )
    from boragespool.controllers.context import Context
    from boragespool.messages import MemberRecord
    from boragespool.types import Seconds

#: Changes within this time are posted together.
_POST_DELAY_S: Final = 0.01
_CANDIDATE_STATUSES: Final = frozenset(
    (MemberStatus.ALIVE, MemberStatus.SUSPECT),
)
_Candidate: TypeAlias = tuple[HostName, Incarnation, DataCentre]


@dataclass(frozen=True, slots=True)
class PollOptions:
    """Polling intervals and options of the exchange of records.

    Attributes
    ----------
    poll_interval_s, poll_timeout_s : float
        Time between polls and longest time for one poll, in seconds. A poll
        finds that a server is leaving after at most twice the interval plus
        the timeout.
    exchange : ExchangeOptions
        Intervals and bounds of the exchange of records with peers.
    """

    poll_interval_s: Seconds = 1
    poll_timeout_s: Seconds = 0.8
    exchange: ExchangeOptions = field(default_factory=ExchangeOptions)


class ServerController:
    """Maintains the server records of a daemon; an async context manager.

    Parameters
    ----------
    context : Context
        Shared parts of the daemon.
    options : PollOptions, optional
        Intervals and bounds; by default those of `PollOptions`.
    """

    def __init__(
        self,
        context: Context,
        options: PollOptions | None = None,
    ) -> None:
        """Set up an empty table of records; `__aenter__` starts the polls."""
        self._context = context
        self._options = options or PollOptions()
        self._table = RecordTable()
        self._exchange = RecordExchange(
            context,
            self._table,
            self._options.exchange,
            ExchangeHooks(
                self._accepts_server,
                lambda: self._assignment.server_count,
                self._on_record_changed,
            ),
        )
        self._polls = ServerPolls(
            context.timers,
            self._options.poll_timeout_s,
            PollHooks(self._on_status, self._on_lost),
        )
        self._assignment = DispatcherAssignment()
        self._refused_at_s_by_server: dict[ServerName, Seconds] = {}
        self._takeover_at_s_by_server: dict[ServerName, Seconds] = {}
        self._candidates: frozenset[_Candidate] = frozenset()
        self._view = ServerView()
        self._changed_servers: set[ServerName] = set()
        self._is_post_scheduled = False
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Start to poll servers and to exchange records."""
        context = self._context
        for subscription in (
            context.board.subscribe(MEMBERS, self._on_members),
            context.board.subscribe(
                DOCUMENT_IN_FORCE, self._assign_dispatchers
            ),
            context.board.subscribe(SERVER_OBSERVATIONS, self._on_observations),
            context.board.subscribe(LEAVING_HOSTS, self._schedule_post),
        ):
            self._stack.callback(subscription)
        timer = context.timers.every(
            self._options.poll_interval_s,
            self._poll_due,
        )
        self._stack.callback(timer.cancel)
        self._on_members(context.board.read(MEMBERS))
        self._assign_dispatchers()
        await self._stack.enter_async_context(self._exchange)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop polling and close the connections."""
        await self._stack.aclose()
        await self._polls.close()

    def _settings(self) -> Settings:
        document = self._context.board.read(DOCUMENT_IN_FORCE)
        return Settings() if document is None else document.settings

    def _on_members(
        self,
        members_by_host: Mapping[HostName, MemberRecord],
    ) -> None:
        """Reassign the servers if the candidate dispatchers changed."""
        candidates = frozenset(
            (member.host, member.incarnation, member.data_centre)
            for member in members_by_host.values()
            if member.status in _CANDIDATE_STATUSES
        )
        if candidates != self._candidates:
            self._candidates = candidates
            self._assign_dispatchers()

    def _assign_dispatchers(self, _posted: object = None) -> None:
        """Assign the dispatchers, and poll the servers of this daemon only."""
        servers = configured_servers(self._settings())
        self._assignment.set_servers(
            {name: server.data_centre for name, server in servers.items()},
        )
        self._assignment.set_candidates(
            {host: data_centre for host, _, data_centre in self._candidates},
        )
        if self._context.board.read(DOCUMENT_IN_FORCE) is not None:
            self._table.keep_only(servers)
        own_host = self._context.identity.host
        now_s = self._context.timers.now_s()
        for name, server in servers.items():
            if self._assignment.dispatcher(name) == own_host:
                self._takeover_at_s_by_server.setdefault(name, now_s)
                self._polls.add(name, server.address)
        for polled in self._polls.servers:
            if self._assignment.dispatcher(polled) != own_host:
                self._polls.remove(polled)
                self._takeover_at_s_by_server.pop(polled)
        self._schedule_post()

    def _poll_due(self) -> None:
        self._polls.tick()
        if self._view.has_expiring_state:
            self._schedule_post()

    def _on_lost(self, server: ServerName) -> None:
        record = self._known_or_new_record(server)
        self._update(server, replace(record, state=ServerState.LOST))

    def _known_or_new_record(self, server: ServerName) -> ServerRecord:
        known = self._table.by_server.get(server)
        if known is not None:
            return known
        return initial_record(self._settings(), server)

    def _on_status(self, server: ServerName, status: BackendStatus) -> None:
        """Update a record from a status.

        The limit comes from the replies that this daemon observed, not from
        the status.
        """
        observation = self._context.board.read(SERVER_OBSERVATIONS).get(server)
        state = status.state
        if recently_draining(observation, self._context.timers.now_s()):
            state = ServerState.DRAINING
        elif state == ServerState.LOST:
            # A server that answers is not lost, whatever state it reports.
            state = ServerState.SERVING
        record = replace(
            self._known_or_new_record(server),
            incarnation=status.incarnation,
            state=state,
            limit=1 if observation is None else observation.limit,
            holdings=holdings_from_status(status),
        )
        self._update(server, record)

    def _update(self, server: ServerName, observed: ServerRecord) -> None:
        """Store and announce an observed record if a new version is due."""
        identity = self._context.identity
        now_s = self._context.timers.now_s()
        known = self._table.by_server.get(server)
        record = next_version(
            known,
            replace(
                observed,
                dispatcher=identity.host,
                dispatcher_incarnation=identity.incarnation,
            ),
            now_s - self._takeover_at_s_by_server[server],
            known_dispatcher_is_live=known is not None
            and self._is_dispatcher_live(known),
        )
        if record is None:
            return
        if known is None or known.dispatcher != identity.host:
            self._takeover_at_s_by_server[server] = now_s
        self._table.merge(record)
        self._exchange.announce(record)
        self._polls.reset_interval(server)
        self._on_record_changed(record)

    def _is_dispatcher_live(self, record: ServerRecord) -> bool:
        dispatcher = (record.dispatcher, record.dispatcher_incarnation)
        return any(
            dispatcher == candidate[:2] for candidate in self._candidates
        )

    def _on_observations(
        self,
        observations: Mapping[ServerName, ServerObservation],
    ) -> None:
        """Handle draining replies and refused connections without delay.

        A draining reply updates the record; a refused connection starts a poll.
        """
        now_s = self._context.timers.now_s()
        for server in self._polls.servers:
            observation = observations.get(server)
            if observation is None:
                continue
            record = self._table.by_server.get(server)
            if record is not None and recently_draining(observation, now_s):
                state = ServerState.DRAINING
                self._update(server, replace(record, state=state))
            if observation.refused_at_s > self._refused_at_s_by_server.get(
                server,
                -math.inf,
            ):
                self._refused_at_s_by_server[server] = observation.refused_at_s
                self._polls.poll(server)
        self._schedule_post()

    def _accepts_server(self, server: ServerName) -> bool:
        # The configured servers are unknown before the first revision.
        has_settings = self._context.board.read(DOCUMENT_IN_FORCE) is not None
        return not has_settings or server in self._assignment

    def _on_record_changed(self, record: ServerRecord) -> None:
        self._changed_servers.add(record.server)
        self._schedule_post()

    def _schedule_post(self, _posted: object = None) -> None:
        if not self._is_post_scheduled:
            self._is_post_scheduled = True
            self._context.timers.after(_POST_DELAY_S, self._post)

    def _post(self) -> None:
        """Refresh the view; post and log it if it changed."""
        self._is_post_scheduled = False
        board = self._context.board
        before = self._view.by_server
        updates = self._view.refresh(
            ViewSources(
                self._settings(),
                self._table.by_server,
                board.read(SERVER_OBSERVATIONS),
                board.read(LEAVING_HOSTS),
                self._context.timers.now_s(),
            ),
            self._changed_servers,
        )
        self._changed_servers.clear()
        if self._view.by_server is not before:
            board.post(SERVERS, self._view.by_server)
            log_state_changes(before, updates)
