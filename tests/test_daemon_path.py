"""Queries and claims through daemon processes and backend stand-ins."""

from __future__ import annotations

import signal
import threading
import time

import pytest

from boragespool.settings import (
    AddressSettings,
    RouteSettings,
    ServerSettings,
    ServiceSettings,
    Settings,
)
from boragespool.types import Rank, WorkKind
from tests.processes import (
    Processes,
    fetch,
    free_address,
    put_revision,
    wait_until,
)

SERVICE_BY_SERVER = {
    f'{service}-{number}': service for service in ('s', 'l') for number in '012'
}


def settings_for(address_by_server: dict[str, str]) -> Settings:
    """Return settings of a search service in three shards, and a ledger."""
    services = {
        service: ServiceSettings(
            slots=5,
            connections=40,
            servers={
                name: ServerSettings(address, 'north')
                for name, address in address_by_server.items()
                if SERVICE_BY_SERVER[name] == service
            },
        )
        for service in ('s', 'l')
    }
    routes = {
        'search': RouteSettings('s', Rank.ROUTINE, WorkKind.QUERY, 2_000),
        'claim': RouteSettings('l', Rank.URGENT, WorkKind.CLAIM, 2_000),
    }
    return Settings(services, routes, addresses=AddressSettings(keep_s=1))


@pytest.fixture
def fleet():
    """Three ready daemons in front of six backend servers."""
    with Processes() as processes:
        platform = processes.start_platform().address
        address_by_server = {name: free_address() for name in SERVICE_BY_SERVER}
        processes.start_backends(
            [
                {
                    'name': name,
                    'service': service,
                    'address': address_by_server[name],
                    **({'shard': 0, 'shards': 1} if service == 'l' else {}),
                }
                for name, service in SERVICE_BY_SERVER.items()
            ],
            '--shards=3',
            '--service_time_ms=20',
        )
        put_revision(platform, 1, settings_for(address_by_server))
        first = processes.start_daemon('a', platform)
        for host in 'bc':
            processes.start_daemon(
                host, platform, f'--peers=a={first.peer_address}'
            )
        entries = [processes.daemons_by_host[host] for host in 'abc']
        for entry in entries:
            entry.wait_for_event(101)
            wait_until(lambda entry=entry: knows_whole_fleet(entry.address))
        yield entries


def knows_whole_fleet(address: str) -> bool:
    """Return whether a daemon knows all members and backend servers."""
    status = fetch(address, '/v1/status')[1]
    return len(status['members']) == 3 and len(status['servers']) == len(
        SERVICE_BY_SERVER
    )


def query(address: str):
    """Send a query; return the HTTP status and the answer."""
    body = {'route': 'search', 'caller': 'till', 'body': {'text': 'rice'}}
    return fetch(address, '/v1/query', body, 'POST')


def claim(address: str, ticket: str):
    """Send a claim with a ticket; return the HTTP status and the answer."""
    body = {
        'route': 'claim',
        'caller': 'till',
        'ticket': ticket,
        'body': {'lot': 7},
    }
    return fetch(address, '/v1/claim', body, 'POST')


def test_query_and_claim_travel_the_whole_path(fleet):
    """Guards against a controller that the daemon process does not start.

    The requests that need it would then fail at one of the daemons. A claim
    with one ticket must have one outcome, wherever it is sent.
    """
    for entry in fleet:
        status, answer = query(entry.address)
        assert (status, answer['coverage']) == (200, 1), answer
    listed = fetch(fleet[1].address, '/v1/addresses?tickets=1')[1]
    ticket = listed['tickets'][0]
    answers = [claim(entry.address, ticket) for entry in fleet]
    assert [status for status, _ in answers] == [200] * 3, answers
    assert len({str(answer['outcome']) for _, answer in answers}) == 1


class CallerThread(threading.Thread):
    """Thread that sends queries and claims to one daemon for a given time.

    It changes to another daemon when the one in use is no longer among the
    addresses.

    Attributes
    ----------
    failures : list
        Errors and answers that are not complete.
    count_by_address : dict
        Number of pairs of query and claim by address of the daemon.
    """

    def __init__(self, address: str, duration_s: float) -> None:
        super().__init__()
        self.address = address
        self.stop_at_s = time.monotonic() + duration_s
        self.failures: list[object] = []
        self.count_by_address: dict[str, int] = {}

    def run(self) -> None:
        while time.monotonic() < self.stop_at_s:
            try:
                self.send_until_expiry()
            except OSError as error:
                self.failures.append(repr(error))

    def send_until_expiry(self) -> None:
        """Fetch addresses and tickets; send requests until they expire."""
        listed = fetch(self.address, '/v1/addresses?tickets=60')[1]
        expires_at_s = time.monotonic() + listed['keep_s']
        if self.address not in listed['addresses']:
            self.address = listed['addresses'][0]
        for ticket in listed['tickets']:
            if time.monotonic() >= expires_at_s:
                return
            for status, answer in (
                query(self.address),
                claim(self.address, ticket),
            ):
                if status != 200 or answer.get('coverage', 1) != 1:
                    self.failures.append(answer)
            counts = self.count_by_address
            counts[self.address] = counts.get(self.address, 0) + 1


def test_graceful_stop_keeps_queries_and_claims(fleet):
    """Guards against queries and claims that fail during a graceful stop.

    Callers keep sending to the daemon until their cached addresses expire,
    while it drains and hands over its records.
    """
    leaving = fleet[2]
    callers = [CallerThread(leaving.address, 6) for _ in range(4)]
    for caller in callers:
        caller.start()
    time.sleep(1)
    leaving.signal(signal.SIGTERM)
    code = leaving.wait(20)
    for caller in callers:
        caller.join()
    assert code == 0
    assert [caller.failures for caller in callers] == [[]] * len(callers)
    for caller in callers:
        assert caller.count_by_address[leaving.address] > 5
        assert len(caller.count_by_address) > 1
