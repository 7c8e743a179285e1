"""Starts programs of this project as processes, each with a log file."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final, Self
from urllib.error import HTTPError
from urllib.request import Request, urlopen

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.types import Address, Seconds

ROOT: Final = pathlib.Path(__file__).resolve().parent.parent.parent
_POLL_S: Final = 0.05
_FETCH_TIMEOUT_S: Final = 5
#: By shell convention, a process that a signal ended has this plus the signal
#: number as its exit code.
_SIGNAL_EXIT_BASE: Final = 128
_LOG_TAIL_CHARS: Final = 2_000


def wait_until(
    condition: Callable[[], object],
    limit_s: Seconds = 10,
    what: str = 'condition',
) -> Seconds:
    """Poll a condition until it is true; return the time waited in seconds.

    Parameters
    ----------
    condition : callable
        Function to poll.
    limit_s : float
        Timeout in seconds.
    what : str
        Description of the condition for the error message.

    Raises
    ------
    TimeoutError
        If the condition is not true within `limit_s` seconds.
    """
    began_s = time.monotonic()
    while not condition():
        if time.monotonic() - began_s >= limit_s:
            raise TimeoutError(f'{what}: timed out after {limit_s} s')
        time.sleep(_POLL_S)
    return time.monotonic() - began_s


def exit_on_sigterm() -> None:
    """Raise `SystemExit` on SIGTERM, so that context managers clean up.

    The ``timeout`` command sends SIGTERM. Without the handler, processes that
    a benchmark started would outlive it.
    """
    signal.signal(signal.SIGTERM, _exit_with_signal_code)


def _exit_with_signal_code(number: int, frame: object) -> None:
    sys.exit(_SIGNAL_EXIT_BASE + number)


def fetch(
    address: Address,
    path: str,
    body: object = None,
    method: str = 'GET',
) -> tuple[int, Any]:
    """Send an HTTP request; return the status and the decoded JSON body."""
    request = Request(
        f'http://{address}{path}',
        data=None if body is None else json.dumps(body).encode(),
        method=method,
    )
    try:
        with urlopen(request, timeout=_FETCH_TIMEOUT_S) as response:
            return response.status, json.load(response)
    except HTTPError as error:
        return error.code, json.load(error)


@dataclass
class RunningProcess:
    """One process that a `ProcessGroup` started.

    Attributes
    ----------
    address : str
        ``ip:port`` for callers, or of the control listener.
    peer_address : str
        ``ip:port`` for other daemons.
    """

    process: subprocess.Popen[bytes]
    log_path: pathlib.Path
    address: Address = ''
    peer_address: Address = ''

    def events(self) -> list[dict[str, Any]]:
        """Return the events logged so far."""
        lines = self.log_path.read_text(encoding='utf-8').splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def event_numbers(self) -> list[int]:
        """Return the numbers of the events logged so far."""
        return [event['event'] for event in self.events()]

    def signal(self, number: int) -> None:
        """Send a signal to this process alone."""
        os.kill(self.process.pid, number)

    def wait(self, limit_s: Seconds = 30) -> int:
        """Wait until the process exits; return the exit code."""
        return self.process.wait(limit_s)

    def wait_for_event(
        self,
        number: int,
        limit_s: Seconds = 15,
    ) -> dict[str, Any]:
        """Wait for an event with a number; return the first one.

        Raises
        ------
        TimeoutError
            If the event is not logged within `limit_s` seconds.
        RuntimeError
            If the process exited without it; the message has the end of the
            log.
        """
        wait_until(
            lambda: (
                self.process.poll() is not None
                or number in self.event_numbers()
            ),
            limit_s,
            f'event {number} in {self.log_path}',
        )
        for event in self.events():
            if event['event'] == number:
                return event
        log = self.log_path.read_text(encoding='utf-8')
        raise RuntimeError(
            f'exited without event {number}: {log[-_LOG_TAIL_CHARS:]}'
        )

    def processor_s(self) -> Seconds:
        """Return the processor time used so far, in seconds."""
        stat = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text(
            encoding='ascii',
        )
        # Fields 14 and 15, utime and stime. They are counted from the end of
        # the process name, which may contain spaces.
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')


@dataclass
class ProcessGroup:
    """Context manager that kills the processes it started on exit."""

    started: list[RunningProcess] = field(default_factory=list)
    _directory: tempfile.TemporaryDirectory[str] = field(
        default_factory=tempfile.TemporaryDirectory,
    )

    def __enter__(self) -> Self:
        """Return the group."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill the processes that still run, and remove the logs."""
        for running in self.started:
            if running.process.poll() is None:
                running.process.kill()
        for ended in self.started:
            ended.process.wait()
        self._directory.cleanup()

    def start(
        self,
        module: str,
        *arguments: str,
        **variables: str,
    ) -> RunningProcess:
        """Run a module in a new process; both output streams go to its log.

        Parameters
        ----------
        module : str
            Name of the module, which is run as ``__main__``.
        *arguments : str
            Command line arguments.
        **variables : str
            Additional environment variables.
        """
        name = f'{len(self.started)}-{module}.log'
        log_path = pathlib.Path(self._directory.name) / name
        with log_path.open('wb') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                cwd=ROOT,
                env=os.environ | {'PYTHONPATH': str(ROOT)} | variables,
                stdout=log,
                stderr=log,
                # When a shell ends, the kernel sends SIGHUP and SIGCONT to
                # stopped processes of its session; a paused one would go on.
                start_new_session=True,
            )
        running = RunningProcess(process, log_path)
        self.started.append(running)
        return running
