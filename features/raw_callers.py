"""Callers without the client library, which see every broken connection."""

from __future__ import annotations

import http.client
import json
import threading
import time

import msgspec

from boragespool.client.answers import QueryResult
from features.callers import Sent, own_query
from features.fleet import UNREACHABLE

TIMEOUT_S = 3


class RawCaller(threading.Thread):
    """Keeps sending over one connection and never hides a failure.

    Parameters
    ----------
    addresses : tuple of str
        Daemons or relays; after a failure the next one is used.
    keep_s : float
        Time for which an address answer may be used; 0 keeps the addresses
        that were given.
    claims : bool
        Whether each second request is a claim.
    pause_s : float
        Time between two requests.
    """

    def __init__(
        self, name, addresses, keep_s=0, *, claims=False, pause_s=0.01
    ) -> None:
        super().__init__(name=name)
        self.sent: list[Sent] = []
        self.broken: list[str] = []
        self.refused: list[dict] = []
        self._addresses = list(addresses)
        self._keep_s = keep_s
        self._claims = claims
        self._pause_s = pause_s
        self._refresh_s = time.monotonic() + keep_s
        self._connection = None
        self._number = 0
        self._is_stopping = threading.Event()

    def run(self) -> None:
        while not self._is_stopping.wait(self._pause_s):
            try:
                self._send_next()
            except UNREACHABLE as error:
                self.broken.append(f'{self._addresses[0]}: {error!r}')
                self._move(self._addresses[1:] + self._addresses[:1])

    def stop(self) -> list[Sent]:
        """Stop after the open request."""
        self._is_stopping.set()
        if self.ident is not None:
            self.join()
        return self.sent

    def _send_next(self) -> None:
        if self._keep_s and time.monotonic() >= self._refresh_s:
            answer = self._ask('GET', '/v1/addresses?count=4')
            self._refresh_s = time.monotonic() + answer['keep_s']
            if self._addresses[0] not in answer['addresses']:
                self._move(answer['addresses'])
        self._number += 1
        if self._claims and self._number % 2:
            self._claim()
        else:
            self._query()

    def _query(self) -> None:
        name = f'{self.name}-{self._number}'
        body = own_query(self._number, name)
        asked = {'route': 'find', 'caller': self.name, 'body': body}
        began_s = time.monotonic()
        answer = self._ask('POST', '/v1/query', asked)
        if answer['code'] >= 1010:
            self.refused.append(answer)
            return
        result = msgspec.convert(answer, QueryResult)
        took_s = time.monotonic() - began_s
        self.sent.append(Sent(name, body, result, began_s, took_s))

    def _claim(self) -> None:
        tickets = self._ask('GET', '/v1/addresses?tickets=1')['tickets']
        if not tickets:
            # A leaving daemon gives no tickets; that is no failure.
            return
        asked = {
            'route': 'claim',
            'caller': self.name,
            'body': {'claim_id': f'{self.name}-{self._number}'},
            'ticket': tickets[0],
        }
        answer = self._ask('POST', '/v1/claim', asked)
        if answer['code'] >= 1010:
            self.refused.append(answer)

    def _ask(self, method, path, body=None) -> dict:
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._addresses[0], timeout=TIMEOUT_S
            )
        encoded = None if body is None else json.dumps(body)
        self._connection.request(method, path, encoded)
        response = self._connection.getresponse()
        answer = json.load(response)
        if response.getheader('connection') == 'close':
            self._connection.close()
            self._connection = None
        return answer

    def _move(self, addresses) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        self._addresses = list(addresses)
