"""Servers that come back under the id of an earlier one."""

from __future__ import annotations

from contextlib import contextmanager
from dataclasses import replace

import pytest

from boragespool.blackboard import Blackboard
from boragespool.blackboard.forwarding_topics import REGISTRATIONS
from boragespool.controllers.forwarding.fleet import ServerFleet
from boragespool.forwarding import Registration
from boragespool.timers import VirtualTimers
from tests.platform_standins.options import simple_options

OLD = Registration(
    'i-a',
    'one',
    '10.0.0.1:80',
    'here',
    5,
    False,
    0,
    started_at_ms=1,
    sequence=1,
)
NEW = replace(OLD, started_at_ms=2)
MOVED = replace(NEW, address='10.0.0.2:80')


@contextmanager
def run_fleet():
    """Return a fleet that follows a blackboard, and the blackboard."""
    board = Blackboard()
    with ServerFleet(
        board, VirtualTimers(), simple_options(), lambda: 0.5
    ) as fleet:
        yield fleet, board


@pytest.mark.parametrize('after', [NEW, MOVED], ids=['address', 'elsewhere'])
def test_replaced_server_gets_its_share_of_connections(after):
    """A server started again under its id must get more than one connection.

    If no removal came between the two registrations it had a limit of one
    until the next change of any server.
    """
    with run_fleet() as (fleet, board):
        board.post(REGISTRATIONS, {'i-a': OLD})
        limit = fleet.servers_of('one')['i-a'].connections.limit
        board.post(REGISTRATIONS, {'i-a': after})
        server = fleet.servers_of('one')['i-a']
        assert server.registration == after
        assert server.connections.limit == limit > 1


def test_late_refusal_of_an_old_address_keeps_the_new_server():
    """A server must stay in use if its predecessor answers 421 late."""
    with run_fleet() as (fleet, board):
        board.post(REGISTRATIONS, {'i-a': OLD})
        old = fleet.servers_of('one')['i-a']
        board.post(REGISTRATIONS, {'i-a': MOVED})
        fleet.discard(old)
        assert fleet.servers_of('one')['i-a'].registration == MOVED
        fleet.discard(fleet.servers_of('one')['i-a'])
        assert not fleet.servers_of('one')


def test_server_that_changes_its_service_leaves_the_old_one():
    """A server must not get requests of the service that it had before."""
    with run_fleet() as (fleet, board):
        board.post(REGISTRATIONS, {'i-a': OLD})
        board.post(REGISTRATIONS, {'i-a': replace(MOVED, service='two')})
        assert not fleet.servers_of('one')
        assert 'i-a' in fleet.servers_of('two')
