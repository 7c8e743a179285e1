"""Change feeds between daemons: contents, age, fallbacks and watches."""

from __future__ import annotations

import asyncio
import math
from contextlib import AsyncExitStack
from dataclasses import replace

import msgspec
import pytest
from boragespool_platform.messages import CODEC

from boragespool.blackboard import Blackboard
from boragespool.blackboard.forwarding_topics import REGISTRATIONS
from boragespool.controllers.forwarding.feed import ChangeFeed, PrefixChanges
from boragespool.controllers.forwarding.feed_http import (
    FEED_PATH,
    FeedClient,
    handle_feed_request,
)
from boragespool.controllers.forwarding.mirror import (
    MirrorOptions,
    MirrorState,
    PrefixMirror,
)
from boragespool.controllers.forwarding.registry import ServerRegistry
from boragespool.controllers.forwarding.relay import RelayedSource, RelayOptions
from boragespool.forwarding import ReadPlan
from boragespool.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from boragespool.item_store import (
    HistoryLost,
    Item,
    ItemEvents,
    ItemPage,
    Removal,
)
from boragespool.results import Failure, ResultCode
from boragespool.timers import LoopTimers, VirtualTimers
from tests.platform_standins.options import simple_options

UNAVAILABLE = Failure(ResultCode.STORE_UNAVAILABLE, 'away')


def mirror_state(revision, read_at_s=0, returned_at_s=-math.inf):
    """Return the state of a mirror without items."""
    return MirrorState({}, frozenset(), revision, returned_at_s, read_at_s)


def item(key, revision):
    return Item(key, b'v', revision)


def test_feed_returns_what_changed_after_a_revision():
    """A feed must return every change and removal after a revision.

    A daemon reads on from its last revision; a change that the feed leaves
    out would never reach it.
    """

    async def scenario():
        feed = ChangeFeed(VirtualTimers())
        assert isinstance(feed.read(None), HistoryLost)
        first, second = item('a', 3), item('b', 5)
        feed.publish({'a': first}, mirror_state(3))
        feed.publish({'b': second}, mirror_state(5))
        feed.publish({'a': None}, mirror_state(7))
        feed.publish({}, mirror_state(9))
        complete = feed.read(None)
        assert (complete.items, complete.revision) == ((second,), 9)
        changes = feed.read(3)
        assert changes.items == (second,)
        assert changes.removals == (Removal('a', 7),)
        unchanged = feed.read(9)
        assert not unchanged.items + unchanged.removals

    asyncio.run(scenario())


def test_feed_returns_items_that_are_newer_than_its_state():
    """An item of a stale page must reach readers that are ahead of the page.

    The page claims an older revision than some of its items have.
    """

    async def scenario():
        feed = ChangeFeed(VirtualTimers())
        feed.publish({'a': item('a', 6)}, mirror_state(3))
        assert feed.read(4).items == (item('a', 6),)
        async with asyncio.timeout(1):
            await feed.wait(4)
        assert not feed.read(6).items

    asyncio.run(scenario())


def test_feed_reports_the_age_of_the_read():
    """The age of a state must grow while it is passed between daemons.

    If each daemon restarted the age, daemons that read from each other
    would keep an outdated state for ever.
    """

    async def scenario():
        timers = VirtualTimers()
        feed = ChangeFeed(timers)
        feed.publish({}, mirror_state(3, read_at_s=0))
        timers.advance(4)
        changes = feed.read(None)
        assert changes.age_s == 4
        other = ChangeFeed(timers)
        other.publish(
            {}, mirror_state(3, read_at_s=timers.now_s() - changes.age_s)
        )
        timers.advance(3)
        assert other.read(None).age_s == 7
        feed.mark_read()
        assert feed.read(None).age_s == 0

    asyncio.run(scenario())


def test_feed_reports_lost_removals():
    """A feed must report when it no longer has all removals.

    It keeps a bounded number of them. A daemon that is further behind would
    keep the removed items; it has to read everything again.
    """

    async def scenario():
        feed = ChangeFeed(VirtualTimers())
        for revision in range(2, 2_100):
            feed.publish({str(revision): None}, mirror_state(revision))
        assert isinstance(feed.read(2), HistoryLost)
        assert isinstance(feed.read(2_090), PrefixChanges)

    asyncio.run(scenario())


def test_gap_in_the_history_ends_a_wait():
    """A wait must end when the feed read all keys again without a change.

    The daemon that waits may know a key that this one has never seen, whose
    removal it would learn a full wait later.
    """

    async def scenario():
        feed = ChangeFeed(VirtualTimers())
        feed.publish({'a': item('a', 3)}, mirror_state(5))
        wait = asyncio.ensure_future(feed.wait(5))
        await asyncio.sleep(0)
        assert not wait.done()
        feed.publish({}, replace(mirror_state(9), history_revision=9))
        async with asyncio.timeout(1):
            await wait
        assert isinstance(feed.read(5), HistoryLost)

    asyncio.run(scenario())


def test_removal_that_is_repeated_stays_in_the_list():
    """A removal published again must be dropped as the latest one.

    Dropped at its first place, it is lost to readers that are older than it,
    as the next removal dropped is from before it.
    """

    async def scenario():
        feed = ChangeFeed(VirtualTimers())
        feed.publish({'a': None}, mirror_state(2))
        for revision in range(3, 1_900):
            feed.publish({str(revision): None}, mirror_state(revision))
        feed.publish({'a': None}, mirror_state(4_000))
        for revision in range(4_001, 4_200):
            feed.publish({str(revision): None}, mirror_state(revision))
        changes = feed.read(3_000)
        assert Removal('a', 4_000) in changes.removals

    asyncio.run(scenario())


class FakeStore:
    """Store whose responses the test sets."""

    def __init__(self):
        self.page = UNAVAILABLE
        self.events = UNAVAILABLE
        self.calls = 0
        self.may_be_stale_flags = []

    async def read_page(self, prefix, after='', *, may_be_stale=False):
        self.calls += 1
        self.may_be_stale_flags.append(may_be_stale)
        return self.page

    async def watch(self, prefix, after_revision, wait_s):
        self.calls += 1
        return self.events


class FeedServer:
    """Daemon that serves change feeds and counts the requests."""

    def __init__(self, feed, **feeds):
        self.feeds_by_prefix = {'p/': feed} | feeds
        self.address = '127.0.0.1:0'
        self.request_count = 0

    async def __aenter__(self):
        self._server = HttpServer(self.address, HttpLimits(), self._handle)
        await self._server.__aenter__()
        self.address = self._server.address
        return self

    async def __aexit__(self, *exc_info):
        await self._server.__aexit__()

    async def _handle(self, request):
        assert request.path == FEED_PATH
        self.request_count += 1
        return await handle_feed_request(self.feeds_by_prefix, request, 1)


def open_source(store, *, reader=None, others=(), max_age_s=1.0):
    plan = ReadPlan(() if reader is None else (reader,))
    options = RelayOptions(
        lambda: plan, lambda: tuple(others), 'hosts/', max_age_s, max_age_s, 1
    )
    return RelayedSource(store, options)


@pytest.mark.parametrize('age_s', [0, 5])
def test_reader_is_used_unless_its_state_is_old(age_s):
    """The reader must be used unless its state is too old.

    A reader that lost the store would hide changes; then the store is read
    directly.
    """

    async def scenario():
        timers = LoopTimers()
        feed = ChangeFeed(timers)
        feed.publish(
            {'p/a': item('p/a', 4)}, mirror_state(4, timers.now_s() - age_s)
        )
        store = FakeStore()
        store.events = ItemEvents((item('p/b', 6),), 6)
        async with FeedServer(feed) as peer:
            async with open_source(store, reader=peer.address) as source:
                answer = await source.watch('p/', 3, 1)
        keys = [event.key for event in answer.events]
        assert keys == (['p/b'] if age_s else ['p/a'])
        assert store.calls == (1 if age_s else 0)

    asyncio.run(scenario())


def test_removals_before_the_start_of_the_reader_are_noticed():
    """A key removed while the reader restarted must not stay known.

    The new process never saw the removal, so its feed cannot list it. A
    daemon that reads on from an older revision has to read all keys.
    """

    async def scenario():
        timers = LoopTimers()
        old_feed, new_feed = ChangeFeed(timers), ChangeFeed(timers)
        kept, removed = item('p/b', 3), item('p/a', 2)
        old_feed.publish(
            {'p/a': removed, 'p/b': kept}, mirror_state(5, timers.now_s())
        )
        store = FakeStore()
        store.page = ItemPage((kept,), 9, truncated=False)
        key_sets = []
        options = MirrorOptions('p/', 0.01, 0.1)
        reader = PrefixMirror(
            store,
            timers,
            options,
            lambda state: new_feed.publish(state.changes_by_key, state),
        )
        async with AsyncExitStack() as stack:
            peer = await stack.enter_async_context(FeedServer(old_feed))
            source = await stack.enter_async_context(
                open_source(FakeStore(), reader=peer.address)
            )
            await stack.enter_async_context(
                PrefixMirror(
                    source,
                    timers,
                    options,
                    lambda state: key_sets.append(set(state.items_by_key)),
                )
            )
            async with asyncio.timeout(3):
                while not key_sets:
                    await asyncio.sleep(0.01)
                assert key_sets[-1] == {'p/a', 'p/b'}
                await stack.enter_async_context(reader)
                while isinstance(new_feed.read(None), HistoryLost):
                    await asyncio.sleep(0.01)
                peer.feeds_by_prefix['p/'] = new_feed
                while key_sets[-1] != {'p/b'}:
                    await asyncio.sleep(0.01)

    asyncio.run(scenario())


def test_daemon_without_a_state_is_not_read_from():
    """A daemon that has read nothing yet must not count as one with a gap.

    Others would read all keys again, though their own state is sound.
    """

    async def scenario():
        async with FeedServer(ChangeFeed(LoopTimers())) as peer:
            client = FeedClient(wait_s=0.2)
            changes = await client.check(peer.address, 'p/', 4)
            assert isinstance(changes, str)
            await client.__aexit__()

    asyncio.run(scenario())


def test_silent_reader_is_skipped():
    """A reader that does not respond must delay a change by at most 1.5 s.

    After the first timeout it is skipped, and the store is read at once.
    """

    async def scenario():
        store = FakeStore()
        store.events = ItemEvents((item('p/b', 6),), 6)

        async def never_respond(reader, writer):
            await asyncio.sleep(3600)

        server = await asyncio.start_server(never_respond, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        async with open_source(store, reader=f'{host}:{port}') as source:
            for max_duration_s in (1.5, 0.1):
                began_s = loop.time()
                answer = await source.watch('p/', 3, 1)
                assert answer.revision == 6
                assert loop.time() - began_s < max_duration_s
        server.close()

    asyncio.run(scenario())


def test_watches_share_one_exchange_and_end_with_the_first_change():
    """Watches of several prefixes must share one exchange.

    The first change of any prefix ends it for all. Separate exchanges would
    multiply the requests between daemons.
    """

    async def scenario():
        timers = LoopTimers()
        feeds_by_prefix = {name: ChangeFeed(timers) for name in 'pqr'}
        for name, feed in feeds_by_prefix.items():
            feed.publish({name: item(name, 4)}, mirror_state(4, timers.now_s()))
        p_feed = feeds_by_prefix.pop('p')
        loop = asyncio.get_running_loop()
        async with FeedServer(p_feed, **feeds_by_prefix) as peer:
            client = FeedClient(wait_s=0.5)
            watches = [
                asyncio.ensure_future(client.watch(peer.address, name, 4))
                for name in ('p/', 'q', 'r')
            ]
            await asyncio.sleep(0.1)
            later = asyncio.ensure_future(client.watch(peer.address, 'p/', 4))
            began_s = loop.time()
            feeds_by_prefix['q'].publish(
                {'q2': item('q2', 6)}, mirror_state(6, timers.now_s())
            )
            all_changes = await asyncio.gather(*watches)
            assert loop.time() - began_s < 0.2
            assert [changes.items for changes in all_changes] == [
                (),
                (item('q2', 6),),
                (),
            ]
            # The later watch ends with the wait of the earlier ones.
            changes = await later
            assert (changes.items, peer.request_count) == ((), 2)
            assert loop.time() - began_s < 0.5
            lost = await client.watch(peer.address, 'r', -3)
            assert isinstance(lost, HistoryLost)
            await client.__aexit__()

    asyncio.run(scenario())


def test_incomplete_answer_ends_the_watch():
    """A response without the requested prefix must fail the watch.

    Otherwise the watch would wait for ever.
    """

    async def scenario():
        async def answer(request):
            return HttpResponse(200, msgspec.msgpack.encode([]))

        async with HttpServer('127.0.0.1:0', HttpLimits(), answer) as server:
            client = FeedClient(wait_s=0.2)
            async with asyncio.timeout(2):
                changes = await client.watch(server.address, 'p/', 4)
                assert isinstance(changes, str)
                changes = await client.read(server.address, 'p/')
                assert isinstance(changes, str)
            await client.__aexit__()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'query', ['prefix=x&after=1', 'prefix=p/&after=z', 'prefix=p/&after=1,2']
)
def test_feed_request_parameters_are_checked(query):
    """Malformed parameters must get a 4xx response, not an exception."""

    async def scenario():
        feeds = {'p/': ChangeFeed(LoopTimers())}
        request = HttpRequest('GET', f'{FEED_PATH}?{query}')
        return (await handle_feed_request(feeds, request, 1)).status

    assert asyncio.run(scenario()) in {400, 404}


def test_others_are_read_only_while_the_store_is_unavailable():
    """Other daemons must be read while the store is unavailable, not after.

    Once it is back, their states may be older than the store.
    """

    async def scenario():
        timers = LoopTimers()
        feed = ChangeFeed(timers)
        feed.publish({'p/a': item('p/a', 4)}, mirror_state(4, timers.now_s()))
        store = FakeStore()
        async with FeedServer(feed) as peer:
            others = ['127.0.0.1:9', peer.address]
            async with open_source(store, others=others) as source:
                page = await source.read_page('p/')
                assert [entry.key for entry in page.items] == ['p/a']
                store.page = ItemPage((), 9, truncated=False)
                request_count = peer.request_count
                assert (await source.read_page('p/')).revision == 9
                assert peer.request_count == request_count

    asyncio.run(scenario())


def test_mirror_survives_a_fault_in_its_callback():
    """An exception in the callback must not end the mirror.

    Later changes would never be read.
    """

    async def scenario():
        store = FakeStore()
        store.page = ItemPage((item('p/a', 2),), 2, truncated=False)
        store.events = ItemEvents((item('p/b', 3),), 3)
        key_sets = []

        def on_state(mirrored):
            key_sets.append(set(mirrored.items_by_key))
            if len(key_sets) == 1:
                raise ValueError('fault')

        options = MirrorOptions('p/', 0.01, 0.01)
        async with PrefixMirror(store, LoopTimers(), options, on_state):
            async with asyncio.timeout(2):
                while len(key_sets) < 2:
                    await asyncio.sleep(0.01)
        assert key_sets[1] == {'p/a', 'p/b'}

    asyncio.run(scenario())


def entry_item(revision, **fields):
    """Return the registration of the server ``i-a`` as an item."""
    value = {'service': 'one', 'address': '10.0.0.1:80', 'zone': 'here'}
    value |= {'version': 'v1', 'concurrency': 5, 'state': 'ready'}
    value |= {'warmup_left_ms': 0, 'sequence': revision}
    return Item('servers/i-a', msgspec.json.encode(value | fields), revision)


def registry_state(item, revision, read_at_s, returned_at_s=-math.inf):
    items = {} if item is None else {item.key: item}
    keys = frozenset(('servers/i-a',))
    return MirrorState(items, keys, revision, returned_at_s, read_at_s)


def open_registry(timers):
    """Return a registry of backend servers and its blackboard."""
    board = Blackboard()
    registry = ServerRegistry(board, timers, simple_options(), CODEC)
    return registry, board


def test_expired_entries_are_published_at_once_and_again():
    """Feeds must have each expired registration at once and each time.

    The daemon itself uses the server for a grace time. A removal published
    only after that time would have a revision that the other daemons have
    already read, and they would miss it.
    """

    async def scenario():
        timers = VirtualTimers()
        posted = []
        registry, board = open_registry(timers)
        board.subscribe(REGISTRATIONS, posted.append)
        registry.apply_state(registry_state(entry_item(3), 3, 0))
        first = registry.feed.read(None)
        assert [item.key for item in first.items] == ['servers/i-a']
        timers.advance(10)
        registry.apply_state(registry_state(None, 8, 10, 10))
        lapsed = registry.feed.read(3)
        assert lapsed.removals == (Removal('servers/i-a', 8),)
        assert 'i-a' in board.read(REGISTRATIONS)
        registry.apply_state(registry_state(entry_item(9), 9, 10, 10))
        restored = registry.feed.read(8)
        assert [item.key for item in restored.items] == ['servers/i-a']
        registry.apply_state(registry_state(None, 11, 10, 10))
        timers.advance(3)
        assert ['i-a' in known for known in posted] == [True, True, False]

    asyncio.run(scenario())


def test_lost_history_is_not_read_from_a_stale_copy():
    """After a lost history the mirror must not accept a stale page.

    A stale page can be from before the changes that were missed.
    """

    async def scenario():
        store = FakeStore()
        store.page = ItemPage((item('p/a', 2),), 2, truncated=False)
        store.events = HistoryLost()
        has_read_often = asyncio.Event()
        options = MirrorOptions('p/', 0.01, 0.01)

        def on_state(_):
            if len(store.may_be_stale_flags) > 2:
                has_read_often.set()

        async with PrefixMirror(store, LoopTimers(), options, on_state):
            async with asyncio.timeout(2):
                await has_read_often.wait()
        assert store.may_be_stale_flags[0]
        assert not any(store.may_be_stale_flags[1:])

    asyncio.run(scenario())


def test_removal_of_an_unknown_server_is_passed_on():
    """A removal must reach the other daemons if this one lacks the key.

    The key may have been removed while all keys were read page by page; a
    daemon that read it before would never learn of the removal.
    """
    registry, _ = open_registry(VirtualTimers())
    registry.apply_state(registry_state(None, 5, 0))
    assert registry.feed.read(3).removals == (Removal('servers/i-a', 5),)


@pytest.mark.parametrize(
    'result',
    [
        ItemEvents((Removal('servers/i-a', 4), entry_item(5)), 5),
        ItemEvents((entry_item(5),), 5, is_coalesced=True),
        HistoryLost(),
    ],
    ids=['two events', 'from a feed', 'history lost'],
)
def test_registration_written_again_is_passed_on(result):
    """A removed registration that is written again must be passed on.

    Another daemon may have read on from the removal. The registration looks
    like a heartbeat here, so that this one would never tell it.
    """

    async def scenario():
        timers = LoopTimers()
        registry, _ = open_registry(timers)
        store = FakeStore()
        store.page = ItemPage((entry_item(3),), 3, truncated=False)
        options = MirrorOptions('servers/', 0.01, 0.01)
        async with PrefixMirror(store, timers, options, registry.apply_state):
            async with asyncio.timeout(2):
                while not registry.feed.has_state:
                    await asyncio.sleep(0.01)
                store.page = ItemPage((entry_item(5),), 5, truncated=False)
                store.events = result
                while registry.feed.read(None).revision < 5:
                    await asyncio.sleep(0.01)
        return registry.feed.read(None).items

    (published,) = asyncio.run(scenario())
    assert published.revision == 5


class PagedStore(FakeStore):
    """Store whose second page is older than the first."""

    def __init__(self):
        super().__init__()
        self.watched_revisions = []

    async def read_page(self, prefix, after='', *, may_be_stale=False):
        if after:
            return ItemPage((item('p/b', 20),), 22, truncated=False)
        return ItemPage((item('p/a', 25),), 30, truncated=True)

    async def watch(self, prefix, after_revision, wait_s):
        self.watched_revisions.append(after_revision)
        return await super().watch(prefix, after_revision, wait_s)


def test_pages_of_different_age_are_followed_from_the_oldest():
    """Changes after an old second page must not be missed.

    A stale page may be older than the first one. Followed from the revision
    of the first, a key removed in between would stay known.
    """

    async def scenario():
        store = PagedStore()
        options = MirrorOptions('p/', 0.01, 0.01)
        async with PrefixMirror(store, LoopTimers(), options, lambda _: None):
            async with asyncio.timeout(2):
                while not store.watched_revisions:
                    await asyncio.sleep(0.01)
        return store.watched_revisions[0]

    assert asyncio.run(scenario()) == 22


def test_state_does_not_return_to_an_older_revision():
    """A mirror must not replace its items by older ones.

    After a lost history all keys may be read from a daemon that is behind;
    servers that were removed would be used again.
    """

    async def scenario():
        store = FakeStore()
        store.page = ItemPage((item('p/a', 9),), 9, truncated=False)
        store.events = HistoryLost()
        states = []
        options = MirrorOptions('p/', 0.01, 0.01)

        def on_state(state):
            states.append(dict(state.items_by_key))
            store.page = ItemPage((item('p/b', 3),), 5, truncated=False)

        async with PrefixMirror(store, LoopTimers(), options, on_state):
            async with asyncio.timeout(2):
                while store.calls < 5:
                    await asyncio.sleep(0.01)
                assert len(states) == 1
                page = ItemPage((item('p/a', 8),), 12, truncated=False)
                store.page = page
                while len(states) == 1:
                    await asyncio.sleep(0.01)
        assert states == [{'p/a': item('p/a', 9)}] * 2

    asyncio.run(scenario())


def test_old_host_records_are_not_added_to_a_newer_state():
    """A stale page must not bring back the record of a removed daemon.

    A daemon that starts looks for the others in stale pages. The watch from
    its own revision does not return a removal from before it.
    """

    async def scenario():
        store = FakeStore()
        items = (item('hosts/a', 3), item('hosts/b', 8))
        store.page = ItemPage(items, 8, truncated=False)
        plan = ReadPlan(is_pending=True)
        options = RelayOptions(lambda: plan, tuple, 'hosts/', 1, 1, 1)
        async with RelayedSource(store, options) as source:
            return await source.watch('hosts/', 5, 1)

    result = asyncio.run(scenario())
    assert [event.key for event in result.events] == ['hosts/b']
    assert result.revision == 5
