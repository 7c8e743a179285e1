"""Daemons of the soak: real processes with settings files."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

import msgspec

from tests.platform_standins.world import settings_document

ROOT = pathlib.Path(__file__).resolve().parents[2]
GRACE_S = 4
RESTART_S = 0.3


class DaemonProcess:
    """One daemon; it is started again whenever it ends.

    Attributes
    ----------
    planned_until_s : float
        End of the last planned stop.
    disturbed_until_s : float
        Until then answers of this daemon may break off.
    """

    def __init__(self, name, zone, store_address, seeds, folder, bounds):
        self.name = name
        self.boot = settings_document(name, zone, store_address) | {
            'seeds': seeds,
            'bounds': bounds | {'grace_s': GRACE_S},
        }
        self.path = pathlib.Path(folder) / f'{name}.json'
        self.path.write_bytes(msgspec.json.encode(self.boot))
        self.log = (pathlib.Path(folder) / f'{name}.log').open('ab')
        self.disturbed_until_s = 0.0
        self.exit_codes = []
        self._ending = False

    @property
    def front(self):
        return self.boot['listen_addrs']['front']

    async def __aenter__(self):
        await self._start()
        self._keeping = asyncio.create_task(self._keep())
        return self

    async def __aexit__(self, *exc_info):
        self._ending = True
        self._keeping.cancel()
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        with contextlib.suppress(asyncio.CancelledError):
            await self._keeping
        await self._process.wait()
        self.log.close()

    def send(self, number):
        """Send a signal to the process that this soak started."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def stop(self):
        """Stop as planned: SIGTERM, then SIGKILL after the grace time."""
        process = self._process
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
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
        )

    async def _keep(self):
        while not self._ending:
            self.exit_codes.append(await self._process.wait())
            await asyncio.sleep(RESTART_S)
            await self._start()
