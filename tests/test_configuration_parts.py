"""Configuration controllers: revisions in parts."""

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
    """Build revisions that differ in one backend server each."""
    documents = []
    given_settings = many_servers(servers)
    for number in range(1, count + 1):
        service = given_settings.services['a']
        server = dataclasses.replace(
            service.servers['s-00007'], region=f'r{number}'
        )
        service = dataclasses.replace(
            service, servers=service.servers | {'s-00007': server}
        )
        given_settings = dataclasses.replace(
            given_settings, services={'a': service}
        )
        documents.append(RevisionDocument(number, f'c{number}', given_settings))
    return documents


def settings_in_force(fleet):
    """Return the distinct settings in force."""
    found = []
    for board in fleet.boards_by_host.values():
        document = board.read(DOCUMENT_IN_FORCE)
        if document.settings not in found:
            found.append(document.settings)
    return found


def count_part_bytes(fleet):
    """Count the bytes of each kind of reply from now on."""
    counted = {'parts': 0, 'manifest': 0}
    for peers in fleet.peers_by_host.values():

        def counting(serve):
            async def answer(sender, request):
                reply = await serve(sender, request)
                if isinstance(reply, PartsReply):
                    counted['parts'] += sum(map(len, reply.texts))
                else:
                    counted['manifest'] += len(reply.manifest)
                return reply

            return answer

        for kind in (PartsRequest, RevisionRequest):
            peers.handlers[kind] = counting(peers.handlers[kind])
    return counted


def test_change_reaches_all_daemons_with_few_bytes_and_store_calls():
    """Whole documents would exceed the bytes that a daemon may spend."""

    async def run() -> None:
        async with Fleet(12) as fleet:
            first, second = map(encode_revision, build_revisions(2))
            fleet.platform.put_parts(first)
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {1}
            fleet.platform.calling_hosts.clear()
            fleet.platform.call_counts['get'] = 0
            counted = count_part_bytes(fleet)
            fleet.platform.put_parts(second)
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {2}
            assert settings_in_force(fleet) == [build_revisions(2)[1].settings]
            # An index and a part for each of three watchers.
            assert fleet.platform.call_counts['get'] == 6
            assert len(fleet.platform.calling_hosts) == 3
            largest = max(map(len, second.parts.values()))
            assert 0 < counted['parts'] <= 9 * 2 * largest
            assert 0 < counted['manifest'] <= 9 * len(second.encoded)

    asyncio.run(run())


@pytest.mark.parametrize('fault', ['none', 'wrong', 'silent'])
def test_peer_without_the_parts_does_not_hold_up_others(fault):
    """A daemon that lost or garbled its parts must not stop the spread."""

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
    """Half a revision would be a configuration that nobody wrote."""

    async def run() -> None:
        async with Fleet(5) as fleet:
            first, second = map(encode_revision, build_revisions(2))
            fleet.platform.put_parts(first)
            await fleet.advance(3)
            fleet.platform.put_parts(second)
            lost = second.parts.keys() - first.parts.keys()
            kept = {
                key: fleet.platform.texts_by_part_key.pop(key)
                for key in list(fleet.platform.texts_by_part_key)
                if key.rpartition('/')[2] in lost
            }
            await fleet.advance(6)
            assert fleet.revisions_in_force() == {1}
            # Failed reads are repeated with a delay, by the watchers only.
            assert fleet.platform.call_counts['get'] < 5 * 20
            fleet.platform.texts_by_part_key |= kept
            await fleet.advance(6)
            assert fleet.revisions_in_force() == {2}

    asyncio.run(run())


def test_both_forms_run_side_by_side():
    """Daemons of two releases work together while a fleet is upgraded."""

    async def run() -> None:
        first, second, third, fourth = build_revisions(4)
        async with Fleet(6) as fleet:
            fleet.platform.put(msgspec.json.encode(first).decode())
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {1}
            fleet.platform.put_parts(encode_revision(second))
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {2}
            # A daemon of the earlier release asks without the new field.
            for peers in fleet.peers_by_host.values():
                reply = await peers.handlers[RevisionRequest](
                    None, RevisionRequest(1)
                )
                decoded = decode_document(reply.document)
                assert decoded.settings == second.settings

            # It answers with whole documents and not to other requests.
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
    """Daemons that know nobody for their first two seconds."""

    def gossip(self):
        """Post member records once the daemons have met."""
        if self.timers.now_s() >= 2:
            super().gossip()


def test_first_reads_of_a_cold_start_are_spread():
    """7,000 daemons that start together must not read the store at once."""

    async def cold_start(window_s):
        options = ConfigurationOptions(first_read_window_s=window_s)
        async with LateGossipFleet(60, options) as fleet:
            packed = encode_revision(build_revisions(1)[0])
            fleet.platform.put_parts(packed)
            await fleet.advance(1)
            calls = dict(fleet.platform.call_counts)
            await fleet.advance(window_s + 4)
            assert fleet.revisions_in_force() == {1}
            return calls, fleet.platform.call_counts['get'], len(packed.parts)

    async def run() -> None:
        at_once, _, _ = await cold_start(0)
        spread, parts_read, part_count = await cold_start(6)
        assert at_once['watch'] >= 60
        assert spread['watch'] * 3 <= at_once['watch']
        # Nobody reads all parts before the daemons have met.
        assert at_once['get'] >= 60 * (part_count - 1)
        assert spread['get'] == 0
        assert parts_read <= 3 * part_count

    asyncio.run(run())


def test_parts_of_revisions_that_never_complete_do_not_pile_up():
    """Parts lost one revision after the other must not fill the memory."""
    held = LocalRevision()
    for number in range(1, 40):
        given_settings = many_servers(2_000, number)
        service = given_settings.services['a']
        servers = {
            f'{number}-{name}': one for name, one in service.servers.items()
        }
        service = dataclasses.replace(service, servers=servers)
        given_settings = dataclasses.replace(
            given_settings, services={'a': service}
        )
        packed = encode_revision(RevisionDocument(number, 'c', given_settings))
        held.set_target(packed.manifest)
        lacked = held.parts_to_fetch(packed.manifest)
        held.add(lacked, [packed.parts[one] for one in lacked])
        lacked = held.parts_to_fetch(packed.manifest)
        held.add(lacked, [packed.parts[one] for one in lacked[1:]])
    assert len(held._texts) < 1_300


PACKED = [encode_revision(document) for document in build_revisions(5, 120)]


def adopt_parts(held, packed, dropped):
    """Offer a revision of whose parts some may never arrive."""
    held.set_target(packed.manifest)
    lacked = held.parts_to_fetch(packed.manifest)
    while lacked:
        texts = [packed.parts[one] for one in lacked[dropped:]]
        if not held.add(lacked, [*texts, b'{}']):
            return None
        lacked = held.parts_to_fetch(packed.manifest)
    return held.adopt(packed.manifest, packed.encoded)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.booleans(), st.integers(0, 7)),
        max_size=25,
    )
)
def test_held_revision_is_whole_and_never_lower(steps):
    """Parts that arrive in any order must not make or revert a revision."""
    held = LocalRevision()
    highest = 0
    for index, is_whole, dropped in steps:
        document = build_revisions(5, 120)[index]
        packed = PACKED[index]
        if is_whole:
            adopted = held.adopt(document, msgspec.json.encode(document))
        else:
            adopted = adopt_parts(held, packed, dropped // 4)
        if adopted is not None:
            assert adopted.revision == index + 1 > highest
            highest = index + 1
        if highest:
            wanted = build_revisions(5, 120)[highest - 1].settings
            assert held.document.settings == wanted
            reply = held.answer(RevisionRequest(0, takes_manifest=True))
            assert reply.revision == highest
            everything = held.answer_parts(
                PartsRequest(tuple(PACKED[highest - 1].parts))
            )
            # All but the history, which daemons do not read.
            served = len(PACKED[highest - 1].parts) - 1
            assert not reply.manifest or len(everything.texts) >= served
