"""Output of log lines that is bounded and never blocks the event loop."""

from __future__ import annotations

import logging
import os
import time
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

#: Lines per second in the long run. A line takes about 50 us, so that logging
#: stays below 2% of a core.
LINES_PER_S: Final = 300
#: Lines that may follow each other at once.
BURST_LINES: Final = 600
#: Bytes that wait for a reader that does not keep up.
BUFFER_BYTES: Final = 262_144


class BoundedOutput:
    """Writes lines to a descriptor; drops what it cannot take.

    Parameters
    ----------
    descriptor : int
        File descriptor; it becomes non-blocking.
    clock : callable, optional
        Returns monotonic seconds.

    Attributes
    ----------
    omitted_count : int
        Lines dropped since `pop_omitted_count` was last called.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with a full allowance."""
        os.set_blocking(descriptor, False)
        self.omitted_count = 0
        self._descriptor = descriptor
        self._clock = clock
        self._allowance: float = BURST_LINES
        self._counted_at_s = clock()
        self._waiting = bytearray()

    def write(self, line: str) -> bool:
        """Write one line; False if it was dropped."""
        if not self._take_allowance() or not self._flush():
            self.omitted_count += 1
            return False
        self._waiting += f'{line}\n'.encode('utf-8', 'replace')
        self._flush()
        return True

    def pop_omitted_count(self) -> int:
        """Return how many lines were dropped, and count anew."""
        omitted = self.omitted_count
        self.omitted_count = 0
        return omitted

    def _take_allowance(self) -> bool:
        now_s = self._clock()
        earned = (now_s - self._counted_at_s) * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + earned)
        self._counted_at_s = now_s
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _flush(self) -> bool:
        """Write what waits; False while more than the buffer waits."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                break
            except OSError:
                # Nobody reads any more: the line counts as omitted.
                self._waiting.clear()
                return False
            del self._waiting[:written]
        return len(self._waiting) < BUFFER_BYTES


class BoundedHandler(logging.Handler):
    """Formats records and hands them to a `BoundedOutput`.

    Parameters
    ----------
    output : BoundedOutput
        Destination.
    report : callable
        Returns a record that says how many lines were omitted.
    """

    def __init__(
        self,
        output: BoundedOutput,
        report: Callable[[int], logging.LogRecord],
    ) -> None:
        """Keep the parts."""
        super().__init__()
        self._output = output
        self._report = report

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, after a count of those that were omitted."""
        omitted = self._output.pop_omitted_count()
        if omitted and not self._output.write(
            self.format(self._report(omitted)),
        ):
            self._output.omitted_count += omitted
            return
        self._output.write(self.format(record))
