"""Processor time of daemons per backend request, compared with h11 alone.

``python -m boragespool.bench.exchange``
"""

from __future__ import annotations

import json
import time
from typing import Final

import h11

from boragespool.bench.load_driver import LoadDriver
from boragespool.bench.process_fleet import ProcessFleet
from boragespool.bench.workloads import WORKLOADS_BY_DEPLOYMENT, scale_flows

_EXCHANGE_COUNT: Final = 2_000
_IDLE_S: Final = 4
_RUN_S: Final = 8
_HIGH_LOAD_FACTOR: Final = 4
_HEADERS: Final = (
    ('Host', '127.0.0.1:8000'),
    ('Content-Type', 'application/json'),
)
_REQUEST: Final = json.dumps(
    {
        'attempt_id': 'attempt-0000000001',
        'request_id': 'request-0000000001',
        'kind': 'query',
        'version': 1,
        'start': 0,
        'end': 2**28,
        'body': {'text': 'oak plank'},
        'rank': 'routine',
        'deadline_s': 1,
    },
).encode()
_REPLY: Final = json.dumps(
    {
        'attempt_id': 'attempt-0000000001',
        'version': 1,
        'items': [{'key': key, 'value': 'x' * 16} for key in range(20)],
    },
).encode()


def bare_exchange_s(exchange_count: int = _EXCHANGE_COUNT) -> float:
    """Return the processor time of h11 on the client side of one exchange.

    Parameters
    ----------
    exchange_count : int
        Number of exchanges to average over. They use one connection and no
        sockets.

    Returns
    -------
    float
        Processor time per exchange, in seconds.
    """
    client = h11.Connection(h11.CLIENT)
    server = h11.Connection(h11.SERVER)
    spent_s: float = 0
    for _ in range(exchange_count):
        began_s = time.process_time()
        sent = _send_request(client)
        spent_s += time.process_time() - began_s
        replied = _answer(server, sent)
        began_s = time.process_time()
        client.receive_data(replied)
        _read_message(client)
        client.start_next_cycle()
        spent_s += time.process_time() - began_s
        server.start_next_cycle()
    return spent_s / exchange_count


def main() -> None:
    """Print the processor time of all daemons per backend request.

    The time that idle daemons use is measured first and subtracted.
    """
    bare_s = bare_exchange_s()
    print(f'bare h11: {bare_s * 1e6:.0f} us per exchange')
    place = WORKLOADS_BY_DEPLOYMENT['cooperative']
    with LoadDriver() as driver, ProcessFleet(place.shape) as fleet:
        driver.run(fleet, place.ordinary_flows, _IDLE_S)
        daemons = tuple(fleet.daemons_by_host.values())
        began_s = sum(daemon.processor_s() for daemon in daemons)
        time.sleep(_IDLE_S)
        idle_s = sum(daemon.processor_s() for daemon in daemons) - began_s
        idle_share = idle_s / _IDLE_S / len(daemons)
        print(f'idle: {idle_share:.4f} of a core per daemon')
        for factor in (1, _HIGH_LOAD_FACTOR):
            flows = scale_flows(place.ordinary_flows, factor)
            run = driver.run(fleet, flows, _RUN_S)
            used_s = run.daemon_s - idle_s / _IDLE_S * _RUN_S
            per_request_s = used_s / max(1, run.received)
            print(
                f'{factor} times the ordinary load: {run.received} requests, '
                f'{per_request_s * 1e6:.0f} us of all daemons per request '
                f'beyond idle, {per_request_s / bare_s:.1f} times bare h11',
            )


def _send_request(client: h11.Connection) -> bytes:
    head = h11.Request(
        method='POST',
        target='/v1/work',
        headers=[*_HEADERS, ('Content-Length', str(len(_REQUEST)))],
    )
    return b''.join(
        client.send(event) or b''
        for event in (head, h11.Data(data=_REQUEST), h11.EndOfMessage())
    )


def _answer(server: h11.Connection, sent: bytes) -> bytes:
    server.receive_data(sent)
    _read_message(server)
    head = h11.Response(
        status_code=200,
        headers=[*_HEADERS[1:], ('Content-Length', str(len(_REPLY)))],
    )
    return b''.join(
        server.send(event) or b''
        for event in (head, h11.Data(data=_REPLY), h11.EndOfMessage())
    )


def _read_message(connection: h11.Connection) -> None:
    event = connection.next_event()
    while not isinstance(event, h11.EndOfMessage):
        event = connection.next_event()


if __name__ == '__main__':
    main()
