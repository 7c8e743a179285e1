"""Configuration controllers: new revisions, leaving hosts, store outages."""

from __future__ import annotations

import asyncio

import pytest

from boragespool.blackboard.topics import DOCUMENT_IN_FORCE
from boragespool.controllers.pauses import backoff_s
from boragespool.messages import LeavingHosts
from boragespool.revisions import Change, encode_document, next_document
from boragespool.revisions.host_list import next_host_list, supersedes
from boragespool.settings import Settings
from tests.configuration_fleet import Fleet


def encoded_documents(count):
    """Return the encoded revisions 1 to `count`, with default settings."""
    document = None
    encoded = []
    for number in range(count):
        change = Change(str(number), 'apply', 'amina', 1)
        document = next_document(Settings(), document, change)
        encoded.append(encode_document(document).decode())
    return encoded


def test_revision_is_in_force_everywhere_within_seconds():
    """Guards against daemons that stay on an old revision.

    Only a few daemons watch the store. The others must fetch new revisions
    from peers within seconds.
    """

    async def run() -> None:
        async with Fleet(20) as fleet:
            for number, value in enumerate(encoded_documents(4), start=1):
                fleet.platform.put(value)
                await fleet.advance(3)
                assert fleet.revisions_in_force() == {number}

    asyncio.run(run())


def test_only_three_daemons_call_the_store():
    """Guards against calls to the store that grow with the fleet.

    If every daemon watched the store, a large fleet would exceed the rate of
    calls that the store allows.
    """

    async def run() -> None:
        async with Fleet(20) as fleet:
            await fleet.advance(15)
            watching = [
                controller.is_watcher
                for controller in fleet.controllers_by_host.values()
            ]
            assert sum(watching) == 3
            fleet.platform.call_counts.update(watch=0, hosts=0)
            fleet.platform.calling_hosts.clear()
            await fleet.advance(60)
            assert len(fleet.platform.calling_hosts) == 3
            assert fleet.platform.call_counts['watch'] <= 21
            assert fleet.platform.call_counts['hosts'] <= 3 * 121

    asyncio.run(run())


def test_watcher_that_fails_is_replaced():
    """Guards against a fleet that receives no more revisions.

    This would happen if the watchers failed and no other daemon took over.
    """

    async def run() -> None:
        async with Fleet(6) as fleet:
            await fleet.advance(1)
            fleet.isolated_hosts = {
                host
                for host, controller in fleet.controllers_by_host.items()
                if controller.is_watcher
            }
            assert len(fleet.isolated_hosts) == 3
            await fleet.advance(1)
            fleet.platform.put(encoded_documents(1)[0])
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {1}

    asyncio.run(run())


def test_start_while_the_store_is_down():
    """Guards against a daemon without a configuration, and against a revert.

    A daemon that starts while the store is down must take the highest
    revision of its peers. A store that comes back with an older revision must
    not replace it.
    """

    async def run() -> None:
        first, second, _, fourth = encoded_documents(4)
        async with Fleet(5) as fleet:
            fleet.platform.put(second)
            await fleet.advance(3)
            fleet.platform.down = True
            await fleet.advance(2)
            await fleet.start('late')
            await fleet.advance(3)
            assert fleet.revision_in_force('late') == 2
            fleet.platform.down = False
            fleet.platform.put(first)
            await fleet.advance(8)
            assert fleet.revisions_in_force() == {2}
            fleet.platform.put(fourth)
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {4}

    asyncio.run(run())


def test_all_start_while_the_store_is_down():
    """Guards against daemons that give up when the store is down at the start.

    They must keep calling it at a limited rate, and all get the revision once
    it answers.
    """

    async def run() -> None:
        async with Fleet(5) as fleet:
            fleet.platform.down = True
            fleet.platform.put(encoded_documents(1)[0])
            await fleet.advance(60)
            assert fleet.revisions_in_force() == {0}
            assert fleet.platform.call_counts['watch'] <= 5 + 3 * 25
            fleet.platform.down = False
            await fleet.advance(6)
            assert fleet.revisions_in_force() == {1}

    asyncio.run(run())


def test_store_that_answers_at_once_is_not_called_in_a_loop():
    """Guards against a tight loop of calls to the store.

    A store that answers a watch at once, without waiting for a change, would
    be called again at once each time.
    """

    async def run() -> None:
        async with Fleet(1) as fleet:
            client = fleet.platform.client('h0')

            async def watch(key, after_version, wait_s):
                return await client.watch(key, after_version, 0)

            fleet.controllers_by_host['h0']._store.watch = watch
            await fleet.advance(10)
            calls_before = fleet.platform.call_counts['watch']
            await fleet.advance(10)
            assert fleet.platform.call_counts['watch'] - calls_before <= 21

    asyncio.run(run())


def test_invalid_document_leaves_the_old_one_in_force():
    """Guards against an invalid document that stops or reconfigures daemons.

    The revision in force must stay until a valid one is in the store.
    """

    async def run() -> None:
        first, second, third = encoded_documents(3)
        async with Fleet(4) as fleet:
            fleet.platform.put(first)
            await fleet.advance(3)
            fleet.platform.put(second.replace('"keep_s":5', '"keep_s":-5'))
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {1}
            fleet.platform.put(third)
            await fleet.advance(3)
            assert fleet.revisions_in_force() == {3}

    asyncio.run(run())


def test_error_of_a_subscriber_does_not_end_the_watch():
    """Guards against one faulty subscriber that stops all later revisions.

    Its exception reaches the task that watches the store.
    """

    async def run() -> None:
        first, second = encoded_documents(2)
        async with Fleet(1) as fleet:

            def fail(document):
                if document.revision == 1:
                    raise ValueError(document)

            fleet.boards_by_host['h0'].subscribe(DOCUMENT_IN_FORCE, fail)
            fleet.platform.put(first)
            await fleet.advance(1)
            fleet.platform.put(second)
            await fleet.advance(8)
            assert fleet.revisions_in_force() == {2}

    asyncio.run(run())


@pytest.mark.parametrize('loss', [0, 0.7])
def test_leaving_hosts_reach_daemons_that_do_not_watch(loss):
    """Guards against work for backend servers on leaving hosts.

    Daemons that do not watch must learn a leaving host within 3 s, also if
    messages are lost. An outage of the platform must not clear the list, and
    the number of messages must stay proportional to the fleet.
    """

    async def run() -> None:
        async with Fleet(20) as fleet:
            await fleet.advance(2)
            fleet.loss_rate = loss
            fleet.platform.leaving_hosts = ('b1', 'b2')
            await fleet.advance(3)
            assert fleet.leaving_host_sets() == {frozenset({'b1', 'b2'})}
            fleet.platform.leaving_hosts = ('b2',)
            await fleet.advance(4)
            assert fleet.leaving_host_sets() == {frozenset({'b2'})}
            fleet.platform.down = True
            await fleet.advance(10)
            assert fleet.leaving_host_sets() == {frozenset({'b2'})}
            sent = sum(
                peers.sent_count for peers in fleet.peers_by_host.values()
            )
            # Each daemon forwards each list once, and up to three watchers
            # publish the same change.
            assert sent <= 3 * 3 * 20 * 4

    asyncio.run(run())


def test_lists_are_ordered_and_removals_confirmed():
    """Guards against lists of leaving hosts that replace each other endlessly.

    Watchers read replicas of the platform's list that lag by different times.
    """
    current = LeavingHosts(4, 'w1', ('a', 'b'))
    assert not supersedes(current, current)
    assert supersedes(current, LeavingHosts(4, 'w2'))
    assert not supersedes(current, LeavingHosts(3, 'w9'))
    both = frozenset('ab')
    only_a = frozenset('a')
    assert next_host_list(current, both, both, 'w2') is None
    assert next_host_list(current, only_a, both, 'w2') is None
    assert next_host_list(current, only_a, only_a, 'w2') == LeavingHosts(
        5, 'w2', ('a',)
    )
    assert next_host_list(current, both | {'c'}, only_a, 'w2').hosts == (
        'a',
        'b',
        'c',
    )


def test_backoff_grows_to_its_limit():
    """Guards against retries of many daemons at the same moment.

    Daemons whose calls failed together must draw different delays, which grow
    up to a limit.
    """
    assert backoff_s(1, 0.1, 3, 0) == pytest.approx(0.05)
    assert backoff_s(4, 0.1, 3, 0.5) == pytest.approx(0.6)
    assert backoff_s(10_000, 0.1, 3, 0.999) < 3


def test_late_answer_does_not_undo_a_newer_list():
    """Guards against publishing an outdated list of leaving hosts.

    A newer list can arrive from a peer while a watcher waits for the answer
    of the platform.
    """

    async def run() -> None:
        async with Fleet(2) as fleet:
            await fleet.advance(1)
            host_list = fleet.controllers_by_host['h0']._host_list
            fleet.platform.leaving_hosts = ('gone',)
            hosts = fleet.platform.client('h0').hosts

            async def slow_hosts():
                answer = await hosts()
                newer = LeavingHosts(9, 'h1', ('new',))
                fleet.peers_by_host['h0'].handlers[LeavingHosts](None, newer)
                return answer

            host_list._source.hosts = slow_hosts
            await host_list.read()
            assert fleet.leaving_host_sets() == {frozenset({'new'})}

    asyncio.run(run())
