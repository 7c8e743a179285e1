"""Changes that one daemon reads for others, and when they are believed."""

from __future__ import annotations

import asyncio
import math

import msgspec
import pytest
from boragespool_platform.messages import CODEC
from boragespool_platform.settings import Boot, forwarding_options

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

AWAY = Failure(ResultCode.STORE_UNAVAILABLE, 'away')


def state(revision, read_at_s=0, returned_at_s=-math.inf):
    return MirrorState({}, frozenset(), revision, returned_at_s, read_at_s)


def item(key, revision):
    return Item(key, b'v', revision)


def test_feed_returns_what_changed_after_a_revision():
    """A daemon that reads on must miss no change and no removal."""

    async def scenario():
        feed = ChangeFeed(VirtualTimers())
        assert isinstance(feed.read(None), HistoryLost)
        first, second = item('a', 3), item('b', 5)
        feed.publish({'a': first}, state(3))
        feed.publish({'b': second}, state(5))
        feed.publish({'a': None}, state(7))
        feed.publish({}, state(9))
        everything = feed.read(None)
        assert (everything.items, everything.revision) == ((second,), 9)
        part = feed.read(3)
        assert part.items == (second,)
        assert part.removals == (Removal('a', 7),)
        nothing = feed.read(9)
        assert not nothing.items + nothing.removals

    asyncio.run(scenario())


def test_feed_tells_the_age_of_the_read():
    """Daemons that read from each other must not renew an old state."""

    async def scenario():
        timers = VirtualTimers()
        feed = ChangeFeed(timers)
        feed.publish({}, state(3, read_at_s=0))
        timers.advance(4)
        part = feed.read(None)
        assert part.age_s == 4
        other = ChangeFeed(timers)
        other.publish({}, state(3, read_at_s=timers.now_s() - part.age_s))
        timers.advance(3)
        assert other.read(None).age_s == 7
        feed.mark_read()
        assert feed.read(None).age_s == 0

    asyncio.run(scenario())


def test_feed_forgets_old_removals_openly():
    """A daemon that is too far behind has to read everything."""

    async def scenario():
        feed = ChangeFeed(VirtualTimers())
        for revision in range(2, 2_100):
            feed.publish({str(revision): None}, state(revision))
        assert isinstance(feed.read(2), HistoryLost)
        assert isinstance(feed.read(2_090), PrefixChanges)

    asyncio.run(scenario())


class FakeStore:
    """Store whose answers a test sets."""

    def __init__(self):
        self.page = AWAY
        self.events = AWAY
        self.calls = 0
        self.stale = []

    async def read_page(self, prefix, after='', *, may_be_stale=False):
        self.calls += 1
        self.stale.append(may_be_stale)
        return self.page

    async def watch(self, prefix, after_revision, wait_s):
        self.calls += 1
        return self.events


class Peer:
    """Another daemon that serves one feed."""

    def __init__(self, feed, **feeds):
        self.feeds_by_prefix = {'p/': feed} | feeds
        self.address = '127.0.0.1:0'
        self.asked = 0

    async def __aenter__(self):
        self._server = HttpServer(self.address, HttpLimits(), self._handle)
        await self._server.__aenter__()
        self.address = self._server.address
        return self

    async def __aexit__(self, *exc_info):
        await self._server.__aexit__()

    async def _handle(self, request):
        assert request.path == FEED_PATH
        self.asked += 1
        return await handle_feed_request(self.feeds_by_prefix, request, 1)


def relayed(store, *, reader=None, others=(), oldest_s=1.0):
    options = RelayOptions(
        lambda: reader, lambda: tuple(others), oldest_s, oldest_s, 1
    )
    return RelayedSource(store, options)


@pytest.mark.parametrize('age_s', [0, 5])
def test_reader_is_used_unless_its_state_is_old(age_s):
    """Changes must not stay hidden behind a reader that the store cut off."""

    async def scenario():
        timers = LoopTimers()
        feed = ChangeFeed(timers)
        feed.publish({'p/a': item('p/a', 4)}, state(4, timers.now_s() - age_s))
        store = FakeStore()
        store.events = ItemEvents((item('p/b', 6),), 6)
        async with Peer(feed) as peer:
            async with relayed(store, reader=peer.address) as source:
                answer = await source.watch('p/', 3, 1)
        keys = [event.key for event in answer.events]
        assert keys == (['p/b'] if age_s else ['p/a'])
        assert store.calls == (1 if age_s else 0)

    asyncio.run(scenario())


def test_silent_reader_is_passed_over():
    """A paused reader delays a change by less than a second and a half."""

    async def scenario():
        store = FakeStore()
        store.events = ItemEvents((item('p/b', 6),), 6)

        async def hang(reader, writer):
            await asyncio.sleep(3600)

        server = await asyncio.start_server(hang, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        async with relayed(store, reader=f'{host}:{port}') as source:
            for longest_s in (1.5, 0.1):
                began_s = loop.time()
                answer = await source.watch('p/', 3, 1)
                assert answer.revision == 6
                assert loop.time() - began_s < longest_s
        server.close()

    asyncio.run(scenario())


def test_watches_share_one_exchange_and_end_with_the_first_change():
    """Followers cost one exchange for each wait, however many prefixes."""

    async def scenario():
        timers = LoopTimers()
        feeds_by_prefix = {name: ChangeFeed(timers) for name in 'pqr'}
        for name, feed in feeds_by_prefix.items():
            feed.publish({name: item(name, 4)}, state(4, timers.now_s()))
        p_feed = feeds_by_prefix.pop('p')
        loop = asyncio.get_running_loop()
        async with Peer(p_feed, **feeds_by_prefix) as peer:
            rounds = FeedClient(wait_s=0.5)
            watches = [
                asyncio.ensure_future(rounds.watch(peer.address, name, 4))
                for name in ('p/', 'q', 'r')
            ]
            await asyncio.sleep(0.1)
            late = asyncio.ensure_future(rounds.watch(peer.address, 'p/', 4))
            began_s = loop.time()
            feeds_by_prefix['q'].publish(
                {'q2': item('q2', 6)}, state(6, timers.now_s())
            )
            parts = await asyncio.gather(*watches)
            assert loop.time() - began_s < 0.2
            assert [part.items for part in parts] == [
                (),
                (item('q2', 6),),
                (),
            ]
            # A watch that came later waits no longer than those before it.
            part = await late
            assert (part.items, peer.asked) == ((), 2)
            assert loop.time() - began_s < 0.5
            lost = await rounds.watch(peer.address, 'r', -3)
            assert isinstance(lost, str)
            await rounds.__aexit__()

    asyncio.run(scenario())


def test_incomplete_answer_ends_the_watch():
    """A watch must not wait for ever for a part that does not come."""

    async def scenario():
        async def answer(request):
            return HttpResponse(200, msgspec.msgpack.encode([]))

        async with HttpServer('127.0.0.1:0', HttpLimits(), answer) as server:
            rounds = FeedClient(wait_s=0.2)
            async with asyncio.timeout(2):
                part = await rounds.watch(server.address, 'p/', 4)
                assert isinstance(part, str)
                part = await rounds.read(server.address, 'p/')
                assert isinstance(part, str)
            await rounds.__aexit__()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'query', ['prefix=x&after=1', 'prefix=p/&after=z', 'prefix=p/&after=1,2']
)
def test_questions_of_feeds_are_checked(query):
    """A malformed question must not end the connection without an answer."""

    async def scenario():
        feeds = {'p/': ChangeFeed(LoopTimers())}
        request = HttpRequest('GET', f'{FEED_PATH}?{query}')
        return (await handle_feed_request(feeds, request, 1)).status

    assert asyncio.run(scenario()) in {400, 404}


def test_others_are_asked_only_while_the_store_is_away():
    """A daemon that the store turns away learns from its peers."""

    async def scenario():
        timers = LoopTimers()
        feed = ChangeFeed(timers)
        feed.publish({'p/a': item('p/a', 4)}, state(4, timers.now_s()))
        store = FakeStore()
        async with Peer(feed) as peer:
            others = ['127.0.0.1:9', peer.address]
            async with relayed(store, others=others) as source:
                page = await source.read_page('p/')
                assert [entry.key for entry in page.items] == ['p/a']
                store.page = ItemPage((), 9, truncated=False)
                asked = peer.asked
                assert (await source.read_page('p/')).revision == 9
                assert peer.asked == asked

    asyncio.run(scenario())


def test_mirror_survives_a_fault_in_its_callback():
    """A fault in one change must not end the reading of later ones."""

    async def scenario():
        store = FakeStore()
        store.page = ItemPage((item('p/a', 2),), 2, truncated=False)
        store.events = ItemEvents((item('p/b', 3),), 3)
        seen = []

        def take(taken):
            seen.append(set(taken.items_by_key))
            if len(seen) == 1:
                raise ValueError('fault')

        options = MirrorOptions('p/', 0.01, 0.01)
        async with PrefixMirror(store, LoopTimers(), options, take):
            async with asyncio.timeout(2):
                while len(seen) < 2:
                    await asyncio.sleep(0.01)
        assert seen[1] == {'p/a', 'p/b'}

    asyncio.run(scenario())


def entry_item(revision, **fields):
    value = {'service': 'one', 'address': '10.0.0.1:80', 'zone': 'here'}
    value |= {'version': 'v1', 'concurrency': 5, 'state': 'ready'}
    value |= {'warmup_left_ms': 0, 'sequence': revision}
    return Item('servers/i-a', msgspec.json.encode(value | fields), revision)


def registry_state(item, revision, read_at_s, returned_at_s=-math.inf):
    items = {} if item is None else {item.key: item}
    keys = frozenset(('servers/i-a',))
    return MirrorState(items, keys, revision, returned_at_s, read_at_s)


def test_lapsed_entries_are_told_at_once_and_told_again():
    """Daemons that read through this one must learn of every lapse.

    A lapse that is told only after the grace would carry a revision that the
    others have already seen, and would be missed.
    """

    async def scenario():
        timers = VirtualTimers()
        boot = msgspec.convert(
            {
                'node': 'h',
                'zone': 'here',
                'region': 'r',
                'zones': {'here': 'r'},
                'listen_addrs': {},
                'platform': {'address': '127.0.0.1:9'},
            },
            Boot,
        )
        board = Blackboard()
        posted = []
        board.subscribe(REGISTRATIONS, posted.append)
        registry = ServerRegistry(
            board, timers, forwarding_options(boot), CODEC
        )
        registry.apply_state(registry_state(entry_item(3), 3, 0))
        first = registry.feed.read(None)
        assert [item.key for item in first.items] == ['servers/i-a']
        timers.advance(10)
        registry.apply_state(registry_state(None, 8, 10, 10))
        lapsed = registry.feed.read(3)
        assert lapsed.removals == (Removal('servers/i-a', 8),)
        assert 'i-a' in board.read(REGISTRATIONS)
        registry.apply_state(registry_state(entry_item(9), 9, 10, 10))
        back = registry.feed.read(8)
        assert [item.key for item in back.items] == ['servers/i-a']
        registry.apply_state(registry_state(None, 11, 10, 10))
        timers.advance(3)
        assert ['i-a' in known for known in posted] == [True, True, False]

    asyncio.run(scenario())


def test_lost_history_is_not_read_from_a_stale_copy():
    """After a gap a stale page could hide the changes in the gap."""

    async def scenario():
        store = FakeStore()
        store.page = ItemPage((item('p/a', 2),), 2, truncated=False)
        store.events = HistoryLost()
        seen = asyncio.Event()
        options = MirrorOptions('p/', 0.01, 0.01)

        def take(_):
            if len(store.stale) > 2:
                seen.set()

        async with PrefixMirror(store, LoopTimers(), options, take):
            async with asyncio.timeout(2):
                await seen.wait()
        assert store.stale[0]
        assert not any(store.stale[1:])

    asyncio.run(scenario())
