"""States of the backend servers of one service, updated incrementally."""

from __future__ import annotations

from typing import TYPE_CHECKING

from boragespool.backends.signals import is_lost, is_reported_leaving, state_of

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.backends.signals import ServerSignals
    from boragespool.types import ServerName, ServerState


class ServiceStates:
    """States of all configured servers of a service.

    ``DRAINING`` and ``LOST`` servers get no new work. The candidates are the
    servers that are neither drained by an operator nor lost. If reports say
    that more than half of the candidates are leaving, the reports are ignored
    and all candidates are used. Setting the signals of a server takes constant
    time; it affects the states of the others only if it changes whether reports
    are ignored.
    """

    def __init__(self) -> None:
        """Set up the states without servers."""
        self._signals_by_server: dict[ServerName, ServerSignals] = {}
        self._candidate_count = 0
        self._reported_count = 0

    @property
    def servers(self) -> Iterable[ServerName]:
        """Servers whose signals were set."""
        return self._signals_by_server.keys()

    @property
    def ignores_reports(self) -> bool:
        """Whether more than half of the candidates are reported as leaving."""
        return self._reported_count > self._candidate_count // 2

    def set_signals(self, server: ServerName, signals: ServerSignals) -> bool:
        """Replace the signals of a server.

        Returns
        -------
        bool
            Whether the state of any server may have changed; False if only
            that of this server may.
        """
        before = self.ignores_reports
        known = self._signals_by_server.get(server)
        if known is not None:
            self._add_to_counts(known, -1)
        self._signals_by_server[server] = signals
        self._add_to_counts(signals, 1)
        return self.ignores_reports != before

    def state(self, server: ServerName) -> ServerState:
        """Return the state of a server whose signals were set."""
        signals = self._signals_by_server[server]
        reported = not self.ignores_reports and _is_reported(signals)
        return state_of(signals, reported=reported)

    def _add_to_counts(self, signals: ServerSignals, change: int) -> None:
        if _is_candidate(signals):
            self._candidate_count += change
            self._reported_count += change * _is_reported(signals)


def _is_candidate(signals: ServerSignals) -> bool:
    return not signals.drained and not is_lost(signals)


def _is_reported(signals: ServerSignals) -> bool:
    return _is_candidate(signals) and is_reported_leaving(signals)
