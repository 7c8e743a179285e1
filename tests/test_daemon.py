"""The daemon as a process: settings, exit codes, signals and membership."""

from __future__ import annotations

import http.client
import json
import signal
import socket
import threading
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.daemon.main import read_settings
from boragespool.daemon.options import EntryOptions, all_settings
from boragespool.results import Failure
from boragespool.settings import AddressSettings, Settings
from tests.processes import (
    ROOT,
    Processes,
    fetch,
    free_address,
    put_revision,
    stop_signals,
    wait_until,
)

KEEP_S = 1
REQUIRED_SETTINGS = {
    'host': 'a',
    'data_centre': 'north',
    'region': 'east',
    'caller_address': '127.0.0.1:7001',
    'peer_address': '127.0.0.1:7002',
    'platform_address': '127.0.0.1:7003',
}
INVALID_SETTINGS = {
    'caller_address': '127.0.0.1',
    'peer_address': '0.0.0.0:7000',
    'platform_address': '127.0.0.1:70000',
    'host': 'a b',
    'peers': 'b=nowhere',
    'log_level': 'LOUD',
    'http_connection_count': '0',
    'member_ping_interval_s': 'nan',
    'stop_timeout_s': '-1',
}


def arguments(**changed: str) -> list[str]:
    """Return a command line with the required settings, some changed."""
    return [
        'entry',
        *(
            f'--{name}={value}'
            for name, value in (REQUIRED_SETTINGS | changed).items()
        ),
    ]


@pytest.mark.parametrize('name', INVALID_SETTINGS)
def test_bad_setting_is_named(name):
    """Guards against an error that does not say what to correct.

    It must name the setting, the bad value and what is allowed, in one line.
    """
    failure = read_settings(arguments(**{name: INVALID_SETTINGS[name]}), {})
    assert isinstance(failure, Failure)
    for part in (repr(name), repr(INVALID_SETTINGS[name]), 'allowed'):
        assert part in failure.reason
    assert '\n' not in failure.reason


def test_missing_and_unknown_settings_are_refused():
    """Guards against a daemon that ignores a misspelt flag."""
    assert "'host' is not set" in read_settings(['entry'], {}).reason
    assert isinstance(read_settings([*arguments(), '--hots=a'], {}), Failure)
    assert isinstance(read_settings([*arguments(), 'stray'], {}), Failure)


def test_flag_precedes_the_environment():
    """Guards against an environment variable that overrides a flag."""
    environment = {
        'BORAGESPOOL_HOST': 'from-environment',
        'BORAGESPOOL_HTTP_IDLE_TIMEOUT_S': '7',
        'BORAGESPOOL_MEMBER_RECORD_COUNT': '9',
        'BORAGESPOOL_PEERS': 'b=127.0.0.1:7,c=127.0.0.1:8',
    }
    options = read_settings(
        arguments(member_record_count='5'),
        environment,
    )
    assert isinstance(options, EntryOptions)
    assert options.host == 'a'
    assert options.http.idle_timeout_s == 7
    assert options.membership.record_count == 5
    assert options.peers == (('b', '127.0.0.1:7'), ('c', '127.0.0.1:8'))


@settings(derandomize=True)
@given(st.sampled_from(sorted(all_settings())), st.text(max_size=30))
def test_any_text_is_parsed_or_refused(name, text):
    """Guards against a traceback for a bad setting.

    Any text can be given; it must be parsed or refused with a message. The
    other required settings are missing here, so that each read fails.
    """
    read = read_settings(['entry'], {'BORAGESPOOL_' + name.upper(): text})
    assert isinstance(read, Failure)


@pytest.fixture
def processes():
    with Processes() as started:
        yield started


@pytest.fixture
def platform(processes):
    """Address of a platform; callers may cache daemon addresses for 1 s."""
    address = processes.start_platform().address
    put_revision(address, 1, Settings(addresses=AddressSettings(keep_s=KEEP_S)))
    return address


def members_by_host(entry) -> dict[str, dict]:
    """Return the members that a daemon knows, by host."""
    listed = fetch(entry.address, '/v1/status')[1]['members']
    return {member['host']: member for member in listed}


def start_three_daemons(processes, platform, *flags: str):
    """Start three daemons that know each other; b and c join through a."""
    first = processes.start_daemon('a', platform, *flags)
    for host in 'bc':
        processes.start_daemon(
            host, platform, f'--peers=a={first.peer_address}', *flags
        )
    entries = [processes.daemons_by_host[host] for host in 'abc']
    for entry in entries:
        entry.wait_for_event(101)
    wait_until(
        lambda: all(len(members_by_host(entry)) == 3 for entry in entries)
    )
    return entries


def test_bad_setting_ends_the_process(processes):
    """Guards against a daemon that keeps running with unusable settings."""
    entry = processes.start_daemon('a', 'nowhere')
    assert entry.wait() == 2
    assert entry.event_numbers() == [107]


def test_address_in_use_ends_the_process(processes, platform):
    """Guards against a daemon that keeps running without its addresses.

    This happens if another process listens on one of them already. The exit
    code must differ from that for bad settings.
    """
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        for flag in ('caller_address', 'peer_address'):
            entry = processes.start_daemon('a', platform, **{flag: address})
            assert entry.wait() == 3
            assert 109 in entry.event_numbers()


def test_daemons_join_through_the_platform_list(processes):
    """Guards against daemons that never join if no peers are configured.

    They must then take the addresses of each other from the platform's list.
    """
    addresses = {host: free_address() for host in 'ab'}
    platform = processes.start_platform(
        [
            {
                'host': host,
                'state': 'live',
                'data_centre': 'north',
                'address': address,
            }
            for host, address in addresses.items()
        ]
    ).address
    put_revision(platform, 1, Settings())
    for host, address in addresses.items():
        processes.start_daemon(host, platform, peer_address=address)
    for entry in processes.daemons_by_host.values():
        entry.wait_for_event(101)
        wait_until(
            lambda entry=entry: set(members_by_host(entry)) == {'a', 'b'}
        )


def test_killed_and_paused_daemons(processes, platform):
    """Guards against callers being sent to dead daemons.

    Peers must notice a killed or paused process within seconds, and accept a
    paused one again once it continues.
    """
    first, second, third = start_three_daemons(processes, platform)

    def has_status(host: str, status: str) -> bool:
        return members_by_host(first)[host]['status'] == status

    third.signal(signal.SIGKILL)
    second.signal(signal.SIGSTOP)
    wait_until(lambda: has_status('c', 'dead'), 10, 'killed daemon is dead')
    wait_until(lambda: has_status('b', 'dead'), 10, 'paused daemon is dead')
    listed = fetch(first.address, '/v1/addresses?count=3')[1]['addresses']
    assert listed == [first.address]
    second.signal(signal.SIGCONT)
    wait_until(lambda: has_status('b', 'alive'), 10, 'paused daemon returns')
    assert members_by_host(first)['b']['beat'] > 0
    wait_until(lambda: members_by_host(second)['a']['status'] == 'alive')


class PollingCaller(threading.Thread):
    """Thread that sends requests to one daemon until it is stopped.

    It changes to another daemon when the one in use is no longer among the
    addresses, which it caches for `KEEP_S`.

    Attributes
    ----------
    errors : list of str
        Requests that failed because of the connection.
    answer_counts : dict
        Number of answers by address of the daemon.
    """

    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = address
        self.cached_at_s = time.monotonic()
        self.errors: list[str] = []
        self.answer_counts: dict[str, int] = {}
        self.stopping = False
        self.connection = None

    def run(self) -> None:
        while not self.stopping:
            try:
                if time.monotonic() - self.cached_at_s >= KEEP_S:
                    listed = self.get('/v1/addresses')['addresses']
                    self.cached_at_s = time.monotonic()
                    if self.address not in listed:
                        self.address, self.connection = listed[0], None
                self.get('/v1/health')
            except (OSError, http.client.HTTPException) as error:
                self.errors.append(repr(error))
                self.connection = None

    def get(self, path: str) -> dict:
        if self.connection is None:
            self.connection = http.client.HTTPConnection(
                self.address, timeout=5
            )
        self.connection.request('GET', path)
        response = self.connection.getresponse()
        body = json.load(response)
        assert response.status == 200
        counts = self.answer_counts
        counts[self.address] = counts.get(self.address, 0) + 1
        if response.getheader('connection') == 'close':
            self.connection = None
        return body


@pytest.mark.parametrize('first_signal', stop_signals())
def test_graceful_stop_cuts_no_request(processes, platform, first_signal):
    """Guards against requests that fail when a daemon is stopped gracefully.

    Callers keep using the daemon until their cached addresses expire. Further
    signals during the stop must not shorten it.
    """
    entries = start_three_daemons(processes, platform)
    leaving = entries[2]
    callers = [PollingCaller(leaving.address) for _ in range(8)]
    for caller in callers:
        caller.start()
    try:
        time.sleep(0.5)
        leaving.signal(first_signal)
        leaving.wait_for_event(102)
        wait_until(
            lambda: members_by_host(entries[0])['c']['status'] == 'leaving', 0.5
        )
        listed = fetch(entries[0].address, '/v1/addresses?count=3')[1]
        assert leaving.address not in listed['addresses']
        for signal_number in stop_signals():
            leaving.signal(signal_number)
        assert leaving.wait(15) == 0
    finally:
        for caller in callers:
            caller.stopping = True
        for caller in callers:
            caller.join()
    assert [caller.errors for caller in callers] == [[]] * len(callers)
    for caller in callers:
        assert caller.answer_counts[leaving.address] > 5
        assert len(caller.answer_counts) > 1
    stop_events = [
        number for number in leaving.event_numbers() if 102 <= number <= 106
    ]
    assert stop_events == [102, 103, 104, 105, 106]


def test_stop_is_bounded(processes, platform):
    """Guards against a stop that never ends.

    The stop must end after the timeout, with an exit code and a last event
    that say it is incomplete.
    """
    entry = processes.start_daemon('a', platform, '--stop_timeout_s=0.2')
    entry.wait_for_event(101)
    entry.signal(signal.SIGTERM)
    assert entry.wait(3) == 4
    assert not entry.events()[-1]['complete']


def test_operators_page_lists_every_setting():
    """Guards against an operators' page without a flag or with an old default.

    This happens when a setting is added or changed without the page.
    """
    page = (ROOT / 'docs/operators-daemon.md').read_text(encoding='utf-8')
    for name, setting in all_settings().items():
        row = next(line for line in page.splitlines() if f'`--{name}`' in line)
        assert f'`BORAGESPOOL_{name.upper()}`' in row
        assert setting.value_type.allowed in row
        assert setting.default is None or setting.default in row
