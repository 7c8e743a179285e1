"""Rate-limited, non-blocking output of log lines."""

from __future__ import annotations

import logging
import os
import time
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

#: Sustained rate. A line takes about 50 us, so logging stays below 2% of a
#: CPU core.
LINES_PER_S: Final = 300
#: Lines that may be written in a burst: the capacity of the token bucket.
BURST_LINES: Final = 600
#: Size of the buffer for a reader that does not keep up.
BUFFER_BYTES: Final = 262_144


class BoundedOutput:
    """Writes lines to a file descriptor without blocking.

    A token bucket limits the rate to `LINES_PER_S` with bursts of
    `BURST_LINES`. Lines above that rate, and lines for which the buffer has
    no room, are dropped.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking mode.
    clock : callable, optional
        Returns the monotonic time, in seconds.

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
        """Create an output with a full token bucket and an empty buffer."""
        os.set_blocking(descriptor, False)
        self.omitted_count = 0
        self._descriptor = descriptor
        self._clock = clock
        self._tokens: float = BURST_LINES
        self._refilled_at_s = clock()
        self._buffer = bytearray()

    def write(self, line: str) -> bool:
        """Write or buffer one line; return False if it was dropped."""
        if not self._take_token() or not self._flush():
            self.omitted_count += 1
            return False
        self._buffer += f'{line}\n'.encode('utf-8', 'replace')
        self._flush()
        return True

    def pop_omitted_count(self) -> int:
        """Return the number of dropped lines and reset it to 0."""
        omitted = self.omitted_count
        self.omitted_count = 0
        return omitted

    def _take_token(self) -> bool:
        now_s = self._clock()
        refill = (now_s - self._refilled_at_s) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _flush(self) -> bool:
        """Write the buffer; return False if it is still full or was lost."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                break
            except OSError:
                # The reader has closed its end; the buffered lines are lost.
                # Returning False makes `write` count its new line as omitted.
                self._buffer.clear()
                return False
            del self._buffer[:written]
        return len(self._buffer) < BUFFER_BYTES


class BoundedHandler(logging.Handler):
    """Logging handler that writes to a `BoundedOutput`.

    Parameters
    ----------
    output : BoundedOutput
        Output of the formatted records.
    make_omission_record : callable
        Returns a log record that reports the given number of dropped lines.
    """

    def __init__(
        self,
        output: BoundedOutput,
        make_omission_record: Callable[[int], logging.LogRecord],
    ) -> None:
        """Create a handler that accepts records of all levels."""
        super().__init__()
        self._output = output
        self._make_omission_record = make_omission_record

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, preceded by the number of lines dropped before it.

        If that report is dropped itself, so is the record.
        """
        omitted = self._output.pop_omitted_count()
        if omitted and not self._output.write(
            self.format(self._make_omission_record(omitted)),
        ):
            self._output.omitted_count += omitted
            return
        self._output.write(self.format(record))
