"""Registration table: outdated writes, restarts and expired entries."""

from __future__ import annotations

import math
from dataclasses import replace

from boragespool.forwarding import (
    Registration,
    RegistrationTable,
    diff_registrations,
)

GRACE_S = 2.5
FIRST = Registration(
    server='i-a',
    service='one',
    address='10.0.0.1:80',
    data_centre='here',
    slots=5,
    draining=False,
    warm_up_s=0,
    started_at_ms=100,
    sequence=7,
)


def update(table, *listed, now_s=0, returned_at_s=-math.inf):
    """Update a table with the listed entries; return what changed."""
    before = dict(table.registrations_by_server)
    registrations_by_server = {entry.server: entry for entry in listed}
    table.update(registrations_by_server, now_s, returned_at_s)
    return diff_registrations(before, table.registrations_by_server)


def test_older_copy_is_ignored():
    """A delayed write of an older entry must not undo a drain."""
    table = RegistrationTable(GRACE_S)
    update(table, replace(FIRST, draining=True, sequence=9))
    update(table, FIRST)
    assert table.registrations_by_server['i-a'].draining


def test_removed_server_is_not_added_again():
    """A delayed write of a removed entry must not add the server again."""
    table = RegistrationTable(GRACE_S)
    update(table, FIRST)
    assert update(table).removed == (FIRST,)
    assert not update(table, FIRST).added
    assert update(table, replace(FIRST, sequence=8)).added


def test_restarted_server_is_used_again():
    """A restarted server must be used though its sequence starts over.

    Compared by sequence alone, its first entry would be older than the
    last one before the restart, and be ignored.
    """
    table = RegistrationTable(GRACE_S)
    update(table, replace(FIRST, draining=True))
    restarted = replace(FIRST, started_at_ms=200, sequence=1)
    update(table, restarted)
    assert table.registrations_by_server['i-a'] == restarted


def test_expired_entries_are_kept_for_the_grace_time():
    """Servers must stay in use for a grace time after a store outage.

    Leases expire while the store is away, so entries are missing until the
    servers have registered again. They are dropped after `GRACE_S`.
    """
    table = RegistrationTable(GRACE_S)
    update(table, FIRST, now_s=0)
    update(table, now_s=10, returned_at_s=10)
    assert 'i-a' in table.registrations_by_server
    update(table, now_s=12.4, returned_at_s=10)
    assert 'i-a' in table.registrations_by_server
    update(table, now_s=12.6, returned_at_s=10)
    assert 'i-a' not in table.registrations_by_server
