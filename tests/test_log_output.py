"""Bounded log output: rate limit, omitted lines and stalled readers."""

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
    """Clock that the test sets."""

    now_s = 0.0

    def __call__(self):
        return self.now_s


def read_available(fd):
    """Return the bytes in a pipe without blocking."""
    os.set_blocking(fd, False)
    received = b''
    with contextlib.suppress(BlockingIOError):
        while chunk := os.read(fd, 65_536):
            received += chunk
    return received


def test_stalled_reader_never_blocks():
    """A full pipe that nobody reads must not block the event loop."""
    read_fd, write_fd = os.pipe()
    output = BoundedOutput(write_fd)
    began_s = time.monotonic()
    line = 'x' * 1_000
    written = sum(output.write(line) for _ in range(BURST_LINES))
    assert time.monotonic() - began_s < 1
    assert output.omitted_count == BURST_LINES - written > 0
    assert written * len(line) <= BUFFER_BYTES + 70_000 + len(line)
    os.close(read_fd)
    os.close(write_fd)


def test_lines_stay_complete_when_the_reader_resumes():
    """A line written in part must be finished before the next one.

    A full pipe takes only the start of a line; the rest has to follow when
    the reader continues, or two lines are mixed.
    """
    read_fd, write_fd = os.pipe()
    fcntl.fcntl(write_fd, fcntl.F_SETPIPE_SZ, 4_096)
    output = BoundedOutput(write_fd)
    lines = [f'{number:04d}' + 'x' * 996 for number in range(20)]
    for line in lines:
        assert output.write(line)
    seen = b''
    while seen.count(b'\n') < len(lines) + 1:
        seen += os.read(read_fd, 65_536)
        output.write('end')
    received = seen.decode().split('\n')
    assert received[: len(lines)] == lines
    assert received[len(lines)] == 'end'
    os.close(read_fd)
    os.close(write_fd)


def test_rate_is_bounded_and_omissions_are_counted():
    """Lines beyond the rate limit must be dropped and counted.

    Without a limit, a flood of logged requests would use up the processor.
    """
    read_fd, write_fd = os.pipe()
    clock = Clock()
    output = BoundedOutput(write_fd, clock)
    written = sum(output.write('x') for _ in range(BURST_LINES + 50))
    assert written == BURST_LINES
    assert output.pop_omitted_count() == 50
    clock.now_s = 1.0
    written = sum(output.write('x') for _ in range(2 * LINES_PER_S))
    assert written == LINES_PER_S
    os.close(read_fd)
    os.close(write_fd)


def test_omitted_lines_are_reported():
    """Dropped lines must be reported by a log event with their number."""
    logger = logging.getLogger('boragespool')
    handlers, level = list(logger.handlers), logger.level
    read_fd, write_fd = os.pipe()
    try:
        configure_bounded_logging('INFO', write_fd)
        for number in range(3 * BURST_LINES):
            log_event(Event.PROCESS_READY, 'x', number=number)
            read_available(read_fd)
        time.sleep(10 / LINES_PER_S)
        log_event(Event.PROCESS_READY, 'after')
        last_lines = read_available(read_fd).decode().strip().split('\n')[-2:]
    finally:
        logger.handlers[:] = handlers
        logger.setLevel(level)
        os.close(read_fd)
        os.close(write_fd)
    report, after = map(json.loads, last_lines)
    assert report['event'] == Event.LINES_OMITTED
    assert report['omitted'] > 0
    assert after['message'] == 'after'
