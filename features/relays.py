"""TCP relays that run on an event loop in a separate thread."""

from __future__ import annotations

import asyncio
import threading
from typing import Self

from tests.relay import Relay


class RelayThread:
    """Runs relays in a thread of its own, a context manager.

    Attributes
    ----------
    relays : list of Relay
        One for each target address, in the same order, then the added ones.
    """

    def __init__(self, targets=()) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self.relays = [Relay(target) for target in targets]

    def __enter__(self) -> Self:
        self._thread.start()
        for relay in self.relays:
            self._call(relay.__aenter__())
        return self

    def __exit__(self, *exc_info: object) -> None:
        for relay in self.relays:
            self._call(relay.__aexit__())
        self._call(self._cancel_rest())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def add(self, relay: Relay) -> str:
        """Start a further relay; return its address."""
        self.relays.append(relay)
        self._call(relay.__aenter__())
        return relay.address

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses at which the relays listen."""
        return tuple(relay.address for relay in self.relays)

    def cut(self, *selected: Relay) -> None:
        """Reset the open connections of the given relays, by default of all."""
        for relay in selected or self.relays:
            self._loop.call_soon_threadsafe(relay.cut)

    def silence(self) -> None:
        """Drop all further data of the open connections, which stay open."""
        for relay in self.relays:
            self._loop.call_soon_threadsafe(relay.silence)

    def _call(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(10)

    async def _cancel_rest(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        if tasks:
            # Tasks of connections that were reset end without cancellation.
            await asyncio.wait(tasks, timeout=1)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
