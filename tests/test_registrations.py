"""Registrations: old copies, restarts and lapses."""

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
    before = dict(table.registrations_by_server)
    registrations_by_server = {entry.server: entry for entry in listed}
    table.update(registrations_by_server, now_s, returned_at_s)
    return diff_registrations(before, table.registrations_by_server)


def test_older_copy_is_ignored():
    """A late write of an older entry must not revive a draining server."""
    table = RegistrationTable(GRACE_S)
    update(table, replace(FIRST, draining=True, sequence=9))
    update(table, FIRST)
    assert table.registrations_by_server['i-a'].draining


def test_removed_server_stays_gone():
    """A late copy of an entry that was removed names no server."""
    table = RegistrationTable(GRACE_S)
    update(table, FIRST)
    assert update(table).removed == (FIRST,)
    assert not update(table, FIRST).added
    assert update(table, replace(FIRST, sequence=8)).added


def test_restart_under_the_same_name_begins_anew():
    """A restarted server counts from the start and is used again."""
    table = RegistrationTable(GRACE_S)
    update(table, replace(FIRST, draining=True))
    reborn = replace(FIRST, started_at_ms=200, sequence=1)
    update(table, reborn)
    assert table.registrations_by_server['i-a'] == reborn


def test_lapsed_entries_hold_until_the_grace_ends():
    """Servers must serve on while their entries lapse with the store."""
    table = RegistrationTable(GRACE_S)
    update(table, FIRST, now_s=0)
    update(table, now_s=10, returned_at_s=10)
    assert 'i-a' in table.registrations_by_server
    update(table, now_s=12.4, returned_at_s=10)
    assert 'i-a' in table.registrations_by_server
    update(table, now_s=12.6, returned_at_s=10)
    assert 'i-a' not in table.registrations_by_server
