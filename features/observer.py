"""Records which revision each daemon has in force over time."""

from __future__ import annotations

import pathlib
import threading

from features.fleet import Fleet


class RevisionObserver(threading.Thread):
    """A thread that polls the revision of every daemon every 20 ms.

    It has the interface of a load generator, but records no requests.

    Attributes
    ----------
    revisions_by_host : dict
        The revisions that each daemon reported, in order.
    """

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(name='observer')
        self.sent: list[object] = []
        self.revisions_by_host: dict[str, list[int]] = {}
        self._fleet = fleet
        self._is_stopping = threading.Event()

    def run(self) -> None:
        while not self._is_stopping.wait(0.02):
            for host, entry in tuple(self._fleet.entries.items()):
                if _is_paused(entry):
                    continue
                revision = self._fleet.revision(host)
                if revision is not None:
                    self.revisions_by_host.setdefault(host, []).append(revision)

    def stop(self) -> list[object]:
        """Stop polling."""
        self._is_stopping.set()
        if self.ident is not None:
            self.join()
        return []


def _is_paused(entry) -> bool:
    """Return whether a daemon is stopped by a signal, a zombie or gone.

    A request to a paused daemon would block the observer until its timeout.
    """
    try:
        stat = pathlib.Path(f'/proc/{entry.process.pid}/stat').read_text()
    except OSError:
        return True
    return stat.rpartition(')')[2].split()[0] in 'TZ'
