"""Daemons of the soak test: processes, each with a settings file."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

import msgspec

from tests.platform_standins.cluster import settings_document

ROOT = pathlib.Path(__file__).resolve().parents[2]
#: Time from SIGTERM to SIGKILL in a planned stop, in seconds.
STOP_GRACE_S = 4
RESTART_DELAY_S = 0.3


class DaemonProcess:
    """One daemon process, restarted whenever it exits.

    Attributes
    ----------
    disturbed_until_s : float
        Time on the event loop's clock until which connections to this daemon
        may break without an answer, because of an injected fault.
    exit_codes : list of int
        Exit codes of the processes that have ended.
    """

    def __init__(self, name, zone, store_address, seeds, folder, bounds):
        self.name = name
        self.boot = settings_document(name, zone, store_address) | {
            'seeds': seeds,
            'bounds': bounds | {'grace_s': STOP_GRACE_S},
        }
        self.path = pathlib.Path(folder) / f'{name}.json'
        self.path.write_bytes(msgspec.json.encode(self.boot))
        self.log = (pathlib.Path(folder) / f'{name}.log').open('ab')
        self.disturbed_until_s = 0.0
        self.exit_codes = []
        self._closing = False

    @property
    def caller_address(self):
        """Address on which the daemon serves callers."""
        return self.boot['listen_addrs']['front']

    async def __aenter__(self):
        await self._start()
        self._supervisor = asyncio.create_task(self._supervise())
        return self

    async def __aexit__(self, *exc_info):
        self._closing = True
        self._supervisor.cancel()
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        with contextlib.suppress(asyncio.CancelledError):
            await self._supervisor
        await self._process.wait()
        self.log.close()

    def send_signal(self, number):
        """Send a signal to the current process, if it still runs."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def stop(self):
        """Stop gracefully: SIGTERM, then SIGKILL after `STOP_GRACE_S`.

        Returns
        -------
        bool
            Whether the process exited before it was killed.
        """
        process = self._process
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_GRACE_S):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            return False
        return True

    async def _start(self):
        environment = {
            'PATH': os.environ['PATH'],
            'BORAGESPOOL_BOOT': str(self.path),
            'BORAGESPOOL_LOG_LEVEL': 'DEBUG',
        }
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            'platform/entry.py',
            cwd=ROOT,
            env=environment,
            stdout=self.log,
            stderr=self.log,
            # Otherwise a paused daemon continues when a shell ends.
            start_new_session=True,
        )

    async def _supervise(self):
        while not self._closing:
            self.exit_codes.append(await self._process.wait())
            await asyncio.sleep(RESTART_DELAY_S)
            await self._start()
