"""States of the backend servers of one service, kept up step by step."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.backends.signals import is_lost, reports_leaving, state_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.backends.signals import ServerSignals
    from boragespool.types import ServerName, ServerState


class ServiceStates:
    """States of all configured servers of a service.

    ``DRAINING`` and ``LOST`` servers get no new work. When reports call more
    than half of the servers draining that are neither drained by an operator
    nor lost, the reports are disregarded and all are used. A change costs as
    much as one server, unless it changes whether reports are disregarded.
    """

    def __init__(self) -> None:
        """Start without servers."""
        self._signs_by_server: dict[ServerName, ServerSignals] = {}
        self._candidate_count = 0
        self._reported_count = 0

    @property
    def servers(self) -> Iterable[ServerName]:
        """Servers whose signs were set."""
        return self._signs_by_server.keys()

    @property
    def ignores_reports(self) -> bool:
        """Whether reports call more than half of the servers leaving."""
        return self._reported_count > self._candidate_count // 2

    def set_signals(self, server: ServerName, signs: ServerSignals) -> bool:
        """Replace the signs of a server.

        Returns
        -------
        bool
            Whether the states of all servers can differ now.
        """
        before = self.ignores_reports
        known = self._signs_by_server.get(server)
        if known is not None:
            self._count(known, -1)
        self._signs_by_server[server] = signs
        self._count(signs, 1)
        return self.ignores_reports != before

    def state(self, server: ServerName) -> ServerState:
        """Return the state of a server whose signs were set."""
        signs = self._signs_by_server[server]
        reported = not self.ignores_reports and _is_reported(signs)
        return state_of(signs, reported=reported)

    def _count(self, signs: ServerSignals, change: int) -> None:
        if _is_candidate(signs):
            self._candidate_count += change
            self._reported_count += change * _is_reported(signs)


def _is_candidate(signs: ServerSignals) -> bool:
    return not signs.drained and not is_lost(signs)


def _is_reported(signs: ServerSignals) -> bool:
    return _is_candidate(signs) and reports_leaving(signs)
