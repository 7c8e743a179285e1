"""Functions on configuration revisions, and the watchers of the store."""

from __future__ import annotations

import dataclasses
import pathlib

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.controllers.configuration.local_revision import LocalRevision
from boragespool.messages import MemberRecord
from boragespool.results import Failure, ResultCode
from boragespool.revisions import (
    Change,
    WriteStep,
    check_change,
    choose_watchers,
    clear_fingerprint,
    decode_document,
    decode_revision,
    difference,
    encode_document,
    hosts_with_newer_revision,
    newly_cleared_fingerprints,
    next_document,
    next_step_after_read,
    undrained_servers,
    with_host_drained,
)
from boragespool.revisions.building import AUDIT_ENTRY_LIMIT
from boragespool.routing import highest_weight_hosts
from boragespool.settings import Settings, load_folder
from boragespool.settings.schema import AddressSettings
from boragespool.types import MemberStatus

EXAMPLE = load_folder(pathlib.Path('examples/cooperative'))
CHANGE = Change('id', 'apply', 'amina', 1.0)


def chain(count):
    """Build `count` documents, each based on the one before."""
    documents = [None]
    for number in range(count):
        change = dataclasses.replace(CHANGE, change_id=str(number))
        documents.append(next_document(Settings(), documents[-1], change))
    return documents[1:]


def member(host, status=MemberStatus.ALIVE, revision=0):
    """Build the member record of a daemon."""
    return MemberRecord(
        host, 1, 1, status, 'north', 'north', '', '', revision=revision
    )


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, 6), max_size=12), st.data())
def test_highest_valid_revision_stays_in_force(order, data):
    """A late, repeated or invalid document must not revert a newer one."""
    # Guards against a daemon that returns to an earlier revision because
    # documents arrive out of order.
    documents = chain(7)
    held = LocalRevision()
    highest = 0
    for index in order:
        encoded = encode_document(documents[index])
        if data.draw(st.booleans()):
            encoded = encoded.replace(b'"keep_s":5', b'"keep_s":-5')
        else:
            highest = max(highest, index + 1)
        value = decode_revision(encoded)
        if b'-5' in encoded:
            assert value.code == ResultCode.INVALID_SETTING
        else:
            held.adopt(value, encoded)
    assert held.revision == highest


def test_document_round_trip():
    """Guards against settings that change when they are stored and read.

    Fields of newer releases are ignored; malformed or too large documents are
    refused with their own codes.
    """
    document = next_document(EXAMPLE, None, CHANGE)
    assert decode_document(encode_document(document)) == document
    newer = msgspec.to_builtins(document) | {'added_later': 1}
    assert decode_document(msgspec.json.encode(newer)) == document
    for encoded in (b'', b'\xff', b'{}', b'{"revision":0,"change_id":"",'
                    b'"settings":{}}'):  # fmt: skip
        assert decode_document(encoded).code == ResultCode.INVALID_SETTING
    servers = dict(EXAMPLE.services['lot-finder'].servers)
    name, server = servers.popitem()
    many = {f'{name}-{number}': server for number in range(9000)}
    service = dataclasses.replace(EXAMPLE.services['lot-finder'], servers=many)
    large = Settings(services={'lot-finder': service})
    failure = encode_document(next_document(large, None, CHANGE))
    assert failure.code == ResultCode.VALUE_TOO_LARGE


def test_audit_trail_is_bounded():
    """Guards against an audit trail that exceeds the size of a store value.

    Only the last entries are kept, and long notes are refused.
    """
    trail = chain(AUDIT_ENTRY_LIMIT + 5)[-1].audit
    assert [entry.revision for entry in trail] == list(
        range(6, AUDIT_ENTRY_LIMIT + 6)
    )
    assert all(entry.base == entry.revision - 1 for entry in trail)
    long = dataclasses.replace(CHANGE, note='x' * 401)
    assert isinstance(check_change(long), Failure)
    assert check_change(CHANGE) is None


def test_difference_names_path_and_values():
    """Guards against a conflict report that omits a setting.

    The operator must see the path and both values of each difference.
    """
    changed = dataclasses.replace(EXAMPLE, addresses=AddressSettings(count=9))
    routes = dict(EXAMPLE.routes)
    del routes['claim-lot']
    changed = dataclasses.replace(changed, routes=routes)
    found = difference(EXAMPLE, changed)
    assert [(one.path, one.old, one.new) for one in found][:2] == [
        ('addresses.count', 3, 9),
        ('routes.claim-lot.canary', False, None),
    ]
    assert {one.path.partition('.')[0] for one in found} == {
        'addresses',
        'routes',
    }
    assert difference(EXAMPLE, EXAMPLE) == ()


def test_drain_marks_all_servers_of_a_host():
    """Guards against a drain that leaves out a server of the host.

    That server would get new work on a leaving host.
    """
    host = 'north-member-ledger'
    drained = with_host_drained(EXAMPLE, host, drained=True)
    marked = [
        server.host
        for service in drained.services.values()
        for server in service.servers.values()
        if server.drained
    ]
    assert marked == [host] * 3
    assert len(undrained_servers(drained, EXAMPLE)) == 3
    assert undrained_servers(EXAMPLE, drained) == ()
    assert with_host_drained(drained, host, drained=False) == EXAMPLE
    unknown = with_host_drained(EXAMPLE, 'nowhere', drained=True)
    assert "'nowhere'" in unknown.reason


def test_clearance_acts_once():
    """Guards against a clearance that is applied more than once.

    A fingerprint that crashes servers again after its clearance must stay
    blocked, although later documents still contain the clearance.
    """
    base = chain(1)[0]
    cleared = clear_fingerprint(7, base, CHANGE)
    following = next_document(Settings(), cleared, CHANGE)
    assert newly_cleared_fingerprints(base, cleared) == {7}
    assert newly_cleared_fingerprints(base, following) == {7}
    assert newly_cleared_fingerprints(cleared, following) == frozenset()
    assert newly_cleared_fingerprints(None, cleared) == frozenset()
    again = clear_fingerprint(7, following, CHANGE)
    assert newly_cleared_fingerprints(cleared, again) == {7}


def test_three_watchers_for_the_whole_fleet():
    """Guards against too many watchers, and against none.

    A watcher on each daemon would exceed the call rate of the store. A dead
    watcher must be replaced, and the others stay.
    """
    members_by_host = {
        f'h{number}': member(f'h{number}') for number in range(40)
    }
    chosen = choose_watchers(members_by_host, 'h0', highest_weight_hosts)
    assert len(set(chosen)) == 3
    members_by_host[chosen[0]] = member(chosen[0], MemberStatus.DEAD)
    replaced = choose_watchers(members_by_host, 'h0', highest_weight_hosts)
    assert chosen[0] not in replaced
    assert set(chosen[1:]) < set(replaced)
    assert choose_watchers({}, 'alone', highest_weight_hosts) == ('alone',)
    members_by_host['h1'] = member('h1', revision=4)
    members_by_host['h2'] = member('h2', revision=5)
    members_by_host['h3'] = member('h3', MemberStatus.DEAD, revision=6)
    assert hosts_with_newer_revision(members_by_host, 3) == ('h2', 'h1')
    assert hosts_with_newer_revision(members_by_host, 4) == ('h2',)


def test_dropped_audit_entry_leaves_the_outcome_open():
    """Guards against a false result of a write whose answer was lost.

    The audit trail is bounded. If the entry of the write may have been
    dropped, the write is neither confirmed nor in conflict.
    """
    documents = chain(AUDIT_ENTRY_LIMIT + 2)
    assert (
        next_step_after_read(documents[1], documents[-1])
        is WriteStep.UNCONFIRMED
    )
    assert (
        next_step_after_read(documents[2], documents[-1]) is WriteStep.APPLIED
    )
