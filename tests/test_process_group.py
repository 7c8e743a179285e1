"""Child processes of tests and measurements."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from tests.processes import ROOT, Processes, wait_until

LIMIT_S = 20
#: Runs a test in a process group of its own, as a shell with job control does,
#: and ends before it.
SHELL = """
import subprocess, sys
subprocess.Popen([sys.executable, *sys.argv[1:]], process_group=0)
sys.stdin.read()
"""


def state_of(pid):
    """Return the state letter of a process, such as T for a stopped one."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
    return stat.rpartition(')')[2].split()[0]


def pause_a_platform(report_path):
    """Start a process, pause it, report its number and wait to be ended."""
    with Processes() as processes:
        processes.start_platform()
        paused = processes.started[0]
        paused.signal(signal.SIGSTOP)
        wait_until(lambda: state_of(paused.process.pid) == 'T')
        report = f'{os.getpid()} {paused.process.pid}'
        pathlib.Path(report_path).write_text(report)
        time.sleep(LIMIT_S)


@pytest.mark.skipif(sys.platform != 'linux', reason='needs /proc')
def test_paused_process_stays_paused_when_the_shell_ends(tmp_path):
    """A paused daemon must not continue because a shell has ended.

    The kernel sends SIGHUP and SIGCONT to the stopped processes of a process
    group whose last link to its session ends. Runs in the background of a
    shell failed, because their paused daemon continued before it was dead for
    its peers, or ended.
    """
    report = tmp_path / 'report'
    code = 'import sys, tests.test_process_group as t; t.{}(sys.argv[1])'
    shell = subprocess.Popen(
        [
            sys.executable,
            '-c',
            SHELL,
            '-c',
            code.format(pause_a_platform.__name__),
            str(report),
        ],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        start_new_session=True,
    )
    wait_until(lambda: report.exists() and report.read_text(), LIMIT_S)
    runner, paused = map(int, report.read_text().split())
    try:
        shell.communicate()
        time.sleep(0.3)
        assert state_of(paused) == 'T'
        assert state_of(runner) in {'S', 'R'}
    finally:
        os.kill(paused, signal.SIGKILL)
        os.kill(runner, signal.SIGINT)
