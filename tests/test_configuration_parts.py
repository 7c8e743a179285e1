"""Configuration controllers: revisions that are split into parts."""

from __future__ import annotations

import asyncio
import dataclasses

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.blackboard.topics import DOCUMENT_IN_FORCE
from boragespool.controllers.configuration.configuration import (
    ConfigurationOptions,
)
from boragespool.controllers.configuration.local_revision import LocalRevision
from boragespool.messages import (
    PartsReply,
    PartsRequest,
    RevisionReply,
    RevisionRequest,
)
from boragespool.results import Failure
from boragespool.revisions import (
    RevisionDocument,
    decode_document,
    encode_revision,
)
from tests.configuration_fleet import Fleet
from tests.test_revision_parts import many_servers


def build_revisions(count, servers=600):
    """Build revisions that each change one backend server."""
    documents = []
    built_settings = many_servers(servers)
    for number in range(1, count + 1):
        service = built_settings.services['a']
        server = dataclasses.replace(
            service.servers['s-00007'], region=f'r{number}'
        )
        service = dataclasses.replace(
            service, servers=service.servers | {'s-00007': server}
        )
        built_settings = dataclasses.replace(
            built_settings, services={'a': service}
        )
        documents.append(RevisionDocument(number, f'c{number}', built_settings))
    return documents


def settings_in_force(fleet):
    """Return the distinct settings in force at the daemons."""
    found = []
    for board in fleet.boards_by_host.values():
        document = board.read(DOCUMENT_IN_FORCE)
        if document.settings not in found:
            found.append(document.settings)
    return found


def count_part_bytes(fleet):
    """Return a dict in which the bytes of replies are counted from now on."""
    byte_counts = {'parts': 0, 'manifest': 0}
    for peers in fleet.peers_by_host.values():

        def count_bytes(serve):
            async def answer(sender, request):
                reply = await serve(sender, request)
                if isinstance(reply, PartsReply):
                    byte_counts['parts'] += sum(map(len, reply.texts))
                else:
                    byte_counts['manifest'] += len(reply.manifest)
                return reply

            return answer

        for kind in (PartsRequest, RevisionRequest):
            peers.handlers[kind] = count_bytes(peers.handlers[kind])
    return byte_counts


def test_change_reaches_all_daemons_with_few_bytes_and_store_calls():
    """Guards against sending whole documents when little has changed.

    A whole document per daemon and change would exceed the bytes that a
    daemon may send; only the changed parts may be fetched.
    """

    async def run() -> None:
        async with Fleet(12) as fleet:
            first, second = map(encode_revision, build_revisions(2))
            fleet.platform.put_parts(first)
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {1}
            fleet.platform.calling_hosts.clear()
            fleet.platform.call_counts['get'] = 0
            byte_counts = count_part_bytes(fleet)
            fleet.platform.put_parts(second)
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {2}
            assert settings_in_force(fleet) == [build_revisions(2)[1].settings]
            # Each of three watchers reads an index and a part.
            assert fleet.platform.call_counts['get'] == 6
            assert len(fleet.platform.calling_hosts) == 3
            largest = max(map(len, second.parts.values()))
            assert 0 < byte_counts['parts'] <= 9 * 2 * largest
            assert 0 < byte_counts['manifest'] <= 9 * len(second.encoded)

    asyncio.run(run())


@pytest.mark.parametrize('fault', ['none', 'wrong', 'silent'])
def test_peer_without_the_parts_does_not_hold_up_others(fault):
    """Guards against peers with missing or wrong parts that delay others.

    Such a peer has the revision in its member record, but answers with other
    texts, with none, or not at all.
    """

    async def run() -> None:
        async with Fleet(8) as fleet:
            first, second = map(encode_revision, build_revisions(2))
            fleet.platform.put_parts(first)
            await fleet.advance(3)

            async def answer(sender, request):
                if fault == 'silent':
                    return Failure(3000, 'silent')
                wrong = [b'{}'] * len(request.parts) if fault == 'wrong' else ()
                return PartsReply(tuple(wrong))

            for host in list(fleet.hosts)[:3]:
                fleet.peers_by_host[host].handlers[PartsRequest] = answer
            fleet.platform.put_parts(second)
            await fleet.advance(6)
            assert fleet.revisions_in_force() == {2}
            assert len(settings_in_force(fleet)) == 1

    asyncio.run(run())


def test_revision_without_all_parts_is_not_in_force():
    """Guards against a revision in force although some parts are missing.

    This would be a configuration that nobody wrote. It can happen if the
    store has the manifest but not all of its parts.
    """

    async def run() -> None:
        async with Fleet(5) as fleet:
            first, second = map(encode_revision, build_revisions(2))
            fleet.platform.put_parts(first)
            await fleet.advance(3)
            fleet.platform.put_parts(second)
            removed_hashes = second.parts.keys() - first.parts.keys()
            removed_texts = {
                key: fleet.platform.texts_by_part_key.pop(key)
                for key in list(fleet.platform.texts_by_part_key)
                if key.rpartition('/')[2] in removed_hashes
            }
            await fleet.advance(6)
            assert fleet.revisions_in_force() == {1}
            # Only the watchers repeat failed reads, after a delay.
            assert fleet.platform.call_counts['get'] < 5 * 20
            fleet.platform.texts_by_part_key |= removed_texts
            await fleet.advance(6)
            assert fleet.revisions_in_force() == {2}

    asyncio.run(run())


def test_both_forms_run_side_by_side():
    """Guards against daemons of two releases that cannot exchange revisions.

    While a fleet is upgraded, the earlier release sends and reads whole
    documents, and the later one parts.
    """

    async def run() -> None:
        first, second, third, fourth = build_revisions(4)
        async with Fleet(6) as fleet:
            fleet.platform.put(msgspec.json.encode(first).decode())
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {1}
            fleet.platform.put_parts(encode_revision(second))
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {2}
            # The earlier release sends requests without `takes_manifest`.
            for peers in fleet.peers_by_host.values():
                reply = await peers.handlers[RevisionRequest](
                    None, RevisionRequest(1)
                )
                decoded = decode_document(reply.document)
                assert decoded.settings == second.settings

            # Such a daemon sends whole documents, and does not serve parts.
            async def answer(sender, request):
                return RevisionReply(3, msgspec.json.encode(third))

            async def silent(sender, request):
                return Failure(3000, 'silent')

            fleet.peers_by_host['h0'].handlers[RevisionRequest] = answer
            fleet.peers_by_host['h0'].handlers[PartsRequest] = silent
            fleet.boards_by_host['h0'].post(DOCUMENT_IN_FORCE, third)
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {3}
            fleet.platform.put_parts(encode_revision(fourth))
            await fleet.advance(5)
            assert fleet.revisions_in_force() == {4}

    asyncio.run(run())


class LateGossipFleet(Fleet):
    """Fleet whose daemons know no peers in their first 2 s."""

    def gossip(self):
        """Post the member records, but not in the first 2 s."""
        if self.timers.now_s() >= 2:
            super().gossip()


def test_first_reads_of_a_cold_start_are_spread():
    """Guards against a burst of reads when a whole fleet starts.

    7,000 daemons that start at the same moment know no peers yet, and would
    all read the store at once.
    """

    async def cold_start(window_s):
        options = ConfigurationOptions(first_read_window_s=window_s)
        async with LateGossipFleet(60, options) as fleet:
            encoded_revision = encode_revision(build_revisions(1)[0])
            fleet.platform.put_parts(encoded_revision)
            await fleet.advance(1)
            calls = dict(fleet.platform.call_counts)
            await fleet.advance(window_s + 4)
            assert fleet.revisions_in_force() == {1}
            return (
                calls,
                fleet.platform.call_counts['get'],
                len(encoded_revision.parts),
            )

    async def run() -> None:
        at_once, _, _ = await cold_start(0)
        spread, parts_read, part_count = await cold_start(6)
        assert at_once['watch'] >= 60
        assert spread['watch'] * 3 <= at_once['watch']
        # With the window, no parts are read before the daemons know peers.
        assert at_once['get'] >= 60 * (part_count - 1)
        assert spread['get'] == 0
        assert parts_read <= 3 * part_count

    asyncio.run(run())


def test_parts_of_revisions_that_never_complete_do_not_pile_up():
    """Guards against unbounded memory use by incomplete revisions.

    If each of many revisions lacks a part, the parts that did arrive must not
    accumulate.
    """
    local = LocalRevision()
    for number in range(1, 40):
        built_settings = many_servers(2_000, number)
        service = built_settings.services['a']
        servers = {
            f'{number}-{name}': server
            for name, server in service.servers.items()
        }
        service = dataclasses.replace(service, servers=servers)
        built_settings = dataclasses.replace(
            built_settings, services={'a': service}
        )
        encoded_revision = encode_revision(
            RevisionDocument(number, 'c', built_settings)
        )
        local.set_target(encoded_revision.manifest)
        missing = local.parts_to_fetch(encoded_revision.manifest)
        local.add(missing, [encoded_revision.parts[part] for part in missing])
        missing = local.parts_to_fetch(encoded_revision.manifest)
        local.add(
            missing, [encoded_revision.parts[part] for part in missing[1:]]
        )
    assert len(local._texts) < 1_300


ENCODED_REVISIONS = [
    encode_revision(document) for document in build_revisions(5, 120)
]


def adopt_parts(local, encoded_revision, dropped):
    """Add the parts of a revision and adopt it.

    The first `dropped` parts of each request are withheld. Return None if a
    request brings no part, or if the revision is not higher.
    """
    local.set_target(encoded_revision.manifest)
    missing = local.parts_to_fetch(encoded_revision.manifest)
    while missing:
        texts = [encoded_revision.parts[part] for part in missing[dropped:]]
        if not local.add(missing, [*texts, b'{}']):
            return None
        missing = local.parts_to_fetch(encoded_revision.manifest)
    return local.adopt(encoded_revision.manifest, encoded_revision.encoded)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.booleans(), st.integers(0, 7)),
        max_size=25,
    )
)
def test_held_revision_is_whole_and_never_lower(steps):
    """Guards against a revision that is incomplete or replaces a newer one.

    Parts and documents of several revisions arrive in any order, and some
    parts never do.
    """
    local = LocalRevision()
    highest = 0
    for index, is_whole, dropped in steps:
        document = build_revisions(5, 120)[index]
        encoded_revision = ENCODED_REVISIONS[index]
        if is_whole:
            adopted = local.adopt(document, msgspec.json.encode(document))
        else:
            adopted = adopt_parts(local, encoded_revision, dropped // 4)
        if adopted is not None:
            assert adopted.revision == index + 1 > highest
            highest = index + 1
        if highest:
            expected = build_revisions(5, 120)[highest - 1].settings
            assert local.document.settings == expected
            reply = local.answer(RevisionRequest(0, takes_manifest=True))
            assert reply.revision == highest
            parts_reply = local.answer_parts(
                PartsRequest(tuple(ENCODED_REVISIONS[highest - 1].parts))
            )
            # Daemons have all parts but the history, which they do not read.
            part_count = len(ENCODED_REVISIONS[highest - 1].parts) - 1
            assert not reply.manifest or len(parts_reply.texts) >= part_count
