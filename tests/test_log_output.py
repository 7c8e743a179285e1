"""Log lines are bounded, and a stalled reader blocks nobody."""

from __future__ import annotations

import contextlib
import fcntl
import json
import logging
import os
import time

from boragespool.events import Event, configure_bounded_logging, log_event
from boragespool.log_output import (
    BUFFER_BYTES,
    BURST_LINES,
    LINES_PER_S,
    BoundedOutput,
)


class Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


def drained(descriptor):
    """Read what a pipe holds, without waiting for more."""
    os.set_blocking(descriptor, False)
    received = b''
    with contextlib.suppress(BlockingIOError):
        while chunk := os.read(descriptor, 65_536):
            received += chunk
    return received


def test_stalled_reader_never_blocks():
    """A pipe that nobody reads must not stop the event loop."""
    reading, writing = os.pipe()
    output = BoundedOutput(writing)
    began_s = time.monotonic()
    line = 'x' * 1_000
    written = sum(output.write(line) for _ in range(BURST_LINES))
    assert time.monotonic() - began_s < 1
    assert output.omitted_count == BURST_LINES - written > 0
    assert written * len(line) <= BUFFER_BYTES + 70_000 + len(line)
    os.close(reading)
    os.close(writing)


def test_lines_stay_whole_when_the_reader_returns():
    """A line that was written in part must be finished before the next."""
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, 4_096)
    output = BoundedOutput(writing)
    lines = [f'{number:04d}' + 'x' * 996 for number in range(20)]
    for line in lines:
        assert output.write(line)
    seen = b''
    while seen.count(b'\n') < len(lines) + 1:
        seen += os.read(reading, 65_536)
        output.write('end')
    received = seen.decode().split('\n')
    assert received[: len(lines)] == lines
    assert received[len(lines)] == 'end'
    os.close(reading)
    os.close(writing)


def test_rate_is_bounded_and_omissions_are_counted():
    """A flood of decisions must cost a bounded share of the processor."""
    reading, writing = os.pipe()
    clock = Clock()
    output = BoundedOutput(writing, clock)
    written = sum(output.write('x') for _ in range(BURST_LINES + 50))
    assert written == BURST_LINES
    assert output.pop_omitted_count() == 50
    clock.now_s = 1.0
    written = sum(output.write('x') for _ in range(2 * LINES_PER_S))
    assert written == LINES_PER_S
    os.close(reading)
    os.close(writing)


def test_omitted_lines_are_reported():
    """An engineer must see that lines are missing."""
    logger = logging.getLogger('boragespool')
    handlers, level = list(logger.handlers), logger.level
    reading, writing = os.pipe()
    try:
        configure_bounded_logging('INFO', writing)
        for number in range(3 * BURST_LINES):
            log_event(Event.PROCESS_READY, 'x', number=number)
            drained(reading)
        time.sleep(10 / LINES_PER_S)
        log_event(Event.PROCESS_READY, 'after')
        last = drained(reading).decode().strip().split('\n')[-2:]
    finally:
        logger.handlers[:] = handlers
        logger.setLevel(level)
        os.close(reading)
        os.close(writing)
    report, after = map(json.loads, last)
    assert report['event'] == Event.LINES_OMITTED
    assert report['omitted'] > 0
    assert after['message'] == 'after'
