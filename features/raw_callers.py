"""Callers that use plain HTTP instead of the client library.

The client library retries; these callers record every failed connection.
"""

from __future__ import annotations

import http.client
import json
import threading
import time

import msgspec

from boragespool.client.answers import QueryResult
from features.callers import SentRequest, single_item_body
from features.fleet import CONNECTION_ERRORS

TIMEOUT_S = 3


class RawCaller(threading.Thread):
    """A thread that sends requests over one connection, without retries.

    Parameters
    ----------
    addresses : tuple of str
        Addresses of daemons or relays; a failure moves to the next one.
    keep_s : float
        Time in seconds until the first request for new addresses; each
        address answer sets the time until the next. 0 keeps `addresses`.
    claims : bool
        Whether every second request is a claim; the others are queries.
    pause_s : float
        Time between two requests.

    Attributes
    ----------
    sent : list of SentRequest
        Answered queries.
    connection_errors : list of str
        Failed requests: the address and the exception.
    refusals : list of dict
        Answers whose result code is a refusal.
    """

    def __init__(
        self, name, addresses, keep_s=0, *, claims=False, pause_s=0.01
    ) -> None:
        super().__init__(name=name)
        self.sent: list[SentRequest] = []
        self.connection_errors: list[str] = []
        self.refusals: list[dict] = []
        self._addresses = list(addresses)
        self._keep_s = keep_s
        self._claims = claims
        self._pause_s = pause_s
        self._refresh_at_s = time.monotonic() + keep_s
        self._connection = None
        self._number = 0
        self._is_stopping = threading.Event()

    def run(self) -> None:
        while not self._is_stopping.wait(self._pause_s):
            try:
                self._send_next()
            except CONNECTION_ERRORS as error:
                self.connection_errors.append(
                    f'{self._addresses[0]}: {error!r}'
                )
                self._use_addresses(self._addresses[1:] + self._addresses[:1])

    def stop(self) -> list[SentRequest]:
        """Stop after the open request; return the answered queries."""
        self._is_stopping.set()
        if self.ident is not None:
            self.join()
        return self.sent

    def _send_next(self) -> None:
        if self._keep_s and time.monotonic() >= self._refresh_at_s:
            answer = self._request('GET', '/v1/addresses?count=4')
            self._refresh_at_s = time.monotonic() + answer['keep_s']
            if self._addresses[0] not in answer['addresses']:
                self._use_addresses(answer['addresses'])
        self._number += 1
        if self._claims and self._number % 2:
            self._claim()
        else:
            self._query()

    def _query(self) -> None:
        name = f'{self.name}-{self._number}'
        body = single_item_body(self._number, name)
        request = {'route': 'find', 'caller': self.name, 'body': body}
        began_s = time.monotonic()
        answer = self._request('POST', '/v1/query', request)
        if answer['code'] >= 1010:
            self.refusals.append(answer)
            return
        result = msgspec.convert(answer, QueryResult)
        took_s = time.monotonic() - began_s
        self.sent.append(SentRequest(name, body, result, began_s, took_s))

    def _claim(self) -> None:
        tickets = self._request('GET', '/v1/addresses?tickets=1')['tickets']
        if not tickets:
            # A leaving daemon issues no tickets, which is not a failure.
            return
        request = {
            'route': 'claim',
            'caller': self.name,
            'body': {'claim_id': f'{self.name}-{self._number}'},
            'ticket': tickets[0],
        }
        answer = self._request('POST', '/v1/claim', request)
        if answer['code'] >= 1010:
            self.refusals.append(answer)

    def _request(self, method, path, body=None) -> dict:
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

    def _use_addresses(self, addresses) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        self._addresses = list(addresses)
