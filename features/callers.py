"""Load generators that send requests through the client library.

Each generator runs its own event loop in its own thread.
"""

from __future__ import annotations

import asyncio
import threading
import time
from dataclasses import dataclass

from boragespool.client import Client
from boragespool.client.options import ClientOptions
from boragespool.types import RunState

ITEM_COUNT = 200


@dataclass(frozen=True)
class SentRequest:
    """A request and the answer that its caller received.

    `began_s` is the time on the monotonic clock at which the request was
    sent, `took_s` the time until the answer.
    """

    name: str
    body: dict
    answer: object
    began_s: float
    took_s: float

    @property
    def run(self) -> RunState | None:
        """Run state of the answer; None if the answer has none."""
        return getattr(self.answer, 'run', None)


class LoadGenerator(threading.Thread):
    """A thread that sends requests until it is stopped.

    Parameters
    ----------
    addresses : tuple of str
        Addresses of the daemons.
    send : callable
        Coroutine function that takes the client and the body of a request
        and returns the answer.
    make_body : callable
        Returns the body for the number and the name of a request.
    workers : int
        Number of concurrent requests; ignored if `rate_per_s` is set.
    pause_s : float
        Pause of each worker between two requests.
    rate_per_s : float
        Requests per second that are started without waiting for answers;
        0 sends with `workers` instead.
    options
        Further fields of `ClientOptions`.
    """

    def __init__(
        self,
        name,
        addresses,
        send,
        make_body,
        workers=8,
        pause_s=0.02,
        rate_per_s=0,
        **options,
    ) -> None:
        super().__init__(name=name)
        self.sent: list[SentRequest] = []
        self.error: Exception | None = None
        self._options = ClientOptions(name, tuple(addresses), **options)
        self._send = send
        self._make_body = make_body
        self._workers = workers
        self._pause_s = pause_s
        self._rate_per_s = rate_per_s
        self._number = 0
        self._is_stopping = threading.Event()

    def run(self) -> None:
        try:
            asyncio.run(self._main())
        except Exception as error:
            self.error = error

    def stop(self) -> list[SentRequest]:
        """Stop after the open requests; return all answered requests."""
        self._is_stopping.set()
        if self.ident is not None:
            self.join()
        if self.error is not None:
            raise self.error
        return self.sent

    async def _main(self) -> None:
        async with Client(self._options) as client:
            if self._rate_per_s:
                await self._send_at_rate(client)
                return
            workers = (self._send_in_loop(client) for _ in range(self._workers))
            await asyncio.gather(*workers)

    async def _send_in_loop(self, client: Client) -> None:
        while not self._is_stopping.is_set():
            await self._send_one(client)
            await asyncio.sleep(self._pause_s)

    async def _send_at_rate(self, client: Client) -> None:
        began_s = time.monotonic()
        tasks = []
        while not self._is_stopping.is_set():
            due = int((time.monotonic() - began_s) * self._rate_per_s)
            while len(tasks) < due:
                tasks.append(asyncio.create_task(self._send_one(client)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)

    async def _send_one(self, client: Client) -> None:
        self._number += 1
        name = f'{self.name}-{self._number}'
        body = self._make_body(self._number, name)
        began_s = time.monotonic()
        answer = await self._send(client, body)
        took_s = time.monotonic() - began_s
        self.sent.append(SentRequest(name, body, answer, began_s, took_s))


def claim_body(number: int, name: str) -> dict:
    """Return a claim body; the servers count its runs by this name."""
    return {'claim_id': name}


def match_all_body(number: int, name: str) -> dict:
    """Return a query body that matches all items."""
    return {}


def single_item_body(number: int, name: str) -> dict:
    """Return a query body that matches one item, chosen by the number."""
    return {'match': f'item-{number % ITEM_COUNT:06d}'}


def make_claim_sender(route: str, deadline_s: float):
    """Return a coroutine function that sends a claim."""

    async def send(client: Client, body: dict):
        return await client.claim(route, body, deadline_s)

    return send


def make_query_sender(route: str, deadline_s: float):
    """Return a coroutine function that sends a query."""

    async def send(client: Client, body: dict):
        return await client.query(route, body, deadline_s)

    return send
