"""Peer links: frames, requests, probing, priorities and closing."""

from __future__ import annotations

import asyncio
import contextlib
import time
from contextlib import asynccontextmanager

import msgspec
import pynng
import pytest

from boragespool.bench.ports import free_address
from boragespool.messages import Ack, CancelWork, Gossip, Ping, PingRequest
from boragespool.peers import PeerNetwork, PeerOptions
from boragespool.peers.backlog import Backlog
from boragespool.peers.frames import (
    FRAME_VERSION,
    Frame,
    decode_frame,
    encode_frame,
    encode_message,
)
from boragespool.peers.link import PeerLink
from boragespool.results import Failure, ResultCode
from boragespool.timers import LoopTimers, VirtualTimers
from boragespool.types import RunState
from tests.relay import Relay


@asynccontextmanager
async def running_clock(timers):
    """Advance virtual time by 0.1 ms per turn, so that frames are flushed."""

    async def tick() -> None:
        while True:
            timers.advance(0.0001)
            await asyncio.sleep(0.001)

    task = asyncio.create_task(tick())
    try:
        yield
    finally:
        task.cancel()


@asynccontextmanager
async def connected_networks(idle_timeout_s: float = 10, new_timers=LoopTimers):
    """Start two networks that know each other's address."""
    options = [
        PeerOptions(
            host,
            1,
            free_address(),
            probe_interval_s=0.05,
            silence_timeout_s=0.2,
            idle_timeout_s=idle_timeout_s,
        )
        for host in ('a', 'b')
    ]
    async with (
        PeerNetwork(options[0], new_timers()) as first,
        PeerNetwork(options[1], new_timers()) as second,
    ):
        first.set_address('b', options[1].listen_address)
        second.set_address('a', options[0].listen_address)
        yield first, second


def test_request_gets_its_own_reply():
    """Guards against a reply that is delivered to another request.

    The replies arrive in the other order than the requests.
    """

    async def run() -> None:
        async with connected_networks() as (first, second):

            async def answer(sender, message):
                await asyncio.sleep(0.02 if message.target == 'slow' else 0)
                return Ack(reached=message.target == 'slow')

            second.on_request(PingRequest, answer)
            slow, fast = await asyncio.gather(
                first.request('b', PingRequest('slow'), 2),
                first.request('b', PingRequest('fast'), 2),
            )
            assert slow.reached
            assert not fast.reached

    asyncio.run(run())


def test_messages_of_one_interval_share_a_frame():
    """Guards against one frame per message.

    The overhead of the frames would exceed the budget for control messages.
    """

    async def run() -> None:
        async with connected_networks() as (first, second):
            received = []
            second.on_message(Gossip, lambda _, m: received.append(m))
            for _ in range(200):
                assert first.send('b', Gossip(()))
            while len(received) < 200:
                await asyncio.sleep(0.01)
            assert first.traffic()[0] <= 3

    asyncio.run(run())


def test_request_without_handler_or_peer_fails():
    """Guards against a request that hangs because nobody can answer it.

    The peer has no handler for its type, or the peer's address is unknown.
    """

    async def run() -> None:
        async with connected_networks() as (first, _):
            refused = await first.request('b', Ping(), 2)
            assert isinstance(refused, Failure)
            assert refused.code == ResultCode.PEER_REFUSED
            unknown = await first.request('nobody', Ping(), 1)
            assert unknown.code == ResultCode.PEER_UNREACHABLE

    asyncio.run(run())


def test_abandoned_call_gets_no_late_reply():
    """Guards against late or repeated replies.

    The reply to an abandoned request and the second reply to a request must
    not reach any callback.
    """

    async def run() -> None:
        async with connected_networks() as (first, second):
            replies = []
            second.on_request_with_callback(
                Ping, lambda _, __, reply: replies.append(reply)
            )
            got = []
            abandon = first.request_with_callback('b', Ping(), got.append)
            first.request_with_callback('b', Ping(), got.append)
            while len(replies) < 2:
                await asyncio.sleep(0.01)
            abandon()
            for number, reply in enumerate(replies):
                reply(Ack(reached=bool(number)))
                reply(Ack(reached=not number))
            await asyncio.sleep(0.1)
            assert got == [Ack(reached=True)]

    asyncio.run(run())


def test_failing_handler_leaves_the_run_state_open():
    """Guards against a caller that waits for a handler that raised.

    A request that raised may have run, so its run state is unknown. The other
    messages of its frame must still be handled.
    """

    async def run() -> None:
        async with connected_networks() as (first, second):

            async def fail_later(sender, message):
                raise ValueError('later')

            def fail_now(sender, message, reply):
                raise ValueError('now')

            for network in (first, second):
                network.on_request(PingRequest, fail_later)
                network.on_request_with_callback(Ping, fail_now)
            calls = [
                first.request(host, message, 2)
                for host in ('a', 'b')
                for message in (PingRequest('x'), Ping())
            ]
            for result in await asyncio.gather(*calls):
                assert result.code == ResultCode.PEER_UNREACHABLE
                assert result.run == RunState.UNKNOWN
                # A timeout would have another reason.
                assert 'handler' in result.reason

    asyncio.run(run())


def test_other_frame_version_is_refused():
    """Guards against a release that misreads frames of another version."""
    frame = Frame(FRAME_VERSION + 1, 'a', 1, '127.0.0.1:1', ())
    refused = decode_frame(msgspec.msgpack.encode(frame))
    assert isinstance(refused, Failure)
    assert refused.code == ResultCode.PEER_VERSION


def test_unknown_fields_are_ignored():
    """Guards against frames of a newer release that are refused.

    A release may add fields, which older ones ignore.
    """
    frame = msgspec.to_builtins(Frame(FRAME_VERSION, 'a', 1, 'x:1', ()))
    frame['added_later'] = 1
    assert isinstance(decode_frame(msgspec.msgpack.encode(frame)), Frame)


def test_silent_link_is_dialled_again():
    """Guards against a connection that drops data and is never replaced.

    The link must reconnect when its probes stay unanswered.
    """

    async def run() -> None:
        async with connected_networks() as (first, second):
            received = []
            second.on_message(Gossip, lambda _, m: received.append(m))
            async with Relay(second.options.listen_address) as relay:
                first.set_address('b', relay.address)
                first.send('b', Gossip(()))
                while not received:
                    await asyncio.sleep(0.01)
                relay.silence()
                first.send('b', Gossip(()))
                await asyncio.sleep(0.6)
                assert len(received) == 1
                first.send('b', Gossip(()))
                await asyncio.sleep(0.3)
                assert len(received) == 2
                assert relay.accepted_count == 2

    asyncio.run(run())


def test_answered_requests_need_no_probes():
    """Guards against probes of links whose requests are answered.

    The reply already shows that the link works; probes for pings and their
    answers were two thirds of all frames.
    """
    timers = VirtualTimers()

    async def run() -> None:
        async with (
            running_clock(timers),
            connected_networks(new_timers=lambda: timers) as (first, second),
        ):

            async def answer(_sender, _message):
                return Ack()

            second.on_request(Ping, answer)
            for _ in range(3):
                assert await first.request('b', Ping(), 5) == Ack()
                timers.advance(first.options.probe_interval_s * 2)
                await asyncio.sleep(0.1)
            assert first.traffic()[0] == second.traffic()[0] == 3

    asyncio.run(run())


@pytest.mark.parametrize('sends', ['request', 'message and request'])
def test_silent_link_of_requests_is_dialled_again(sends):
    """Guards against a silent link that a late reply makes appear healthy.

    A reply only confirms what was sent up to its request. If the link drops
    a later message, it must still be replaced.
    """
    timers = VirtualTimers()

    async def run() -> None:
        async with (
            running_clock(timers),
            connected_networks(new_timers=lambda: timers) as (first, second),
        ):
            may_answer = asyncio.Event()
            asked = asyncio.Event()

            async def answer(_sender, _message):
                asked.set()
                await may_answer.wait()
                return Ack()

            second.on_request(Ping, answer)
            async with Relay(second.options.listen_address) as relay:
                first.set_address('b', relay.address)
                reply = asyncio.ensure_future(first.request('b', Ping(), 5))
                await asked.wait()
                relay.silence()
                if sends == 'request':
                    may_answer.set()
                    assert await reply == Ack()
                    await first.request('b', Ping(), 0.1)
                else:
                    first.send('b', Gossip(()))
                    may_answer.set()
                    assert await reply == Ack()
                while relay.accepted_count < 2:
                    await asyncio.sleep(0.05)
                    timers.advance(first.options.probe_interval_s)

    asyncio.run(asyncio.wait_for(run(), 5))


class UncancellableSocket:
    """Ignores a cancellation, as pynng sometimes does when a send completes."""

    def send(self, encoded: bytes, *, block: bool) -> None:
        raise pynng.TryAgain('the send buffer is full', 8)

    async def asend(self, encoded: bytes) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(10)

    def close(self) -> None:
        """Accept the call and do nothing."""


def test_close_ends_when_pynng_swallows_the_cancellation():
    """Guards against a stop that hangs in a blocked send.

    pynng can complete a send at the moment of its cancellation, so that the
    cancellation is lost.
    """

    async def run() -> None:
        options = PeerOptions('a', 1, free_address())
        async with PeerNetwork(options, LoopTimers()) as network:
            network.set_address('b', '127.0.0.1:1')
            network.send('b', Gossip(()))
            link = network._link_by_host['b']
            link._socket.close()
            link._socket = UncancellableSocket()
            await asyncio.sleep(0.05)
            async with PeerLink('127.0.0.1:1', options, LoopTimers()) as other:
                other._socket.close()
                other._socket = UncancellableSocket()
                other.queue(encode_message(Gossip(())))
                await asyncio.sleep(0.05)
                assert other._blocked_sends
            assert link._blocked_sends

    started_s = time.monotonic()
    asyncio.run(asyncio.wait_for(run(), 3))
    assert time.monotonic() - started_s < 2


def test_idle_link_is_closed_and_dialled_again():
    """Guards against links that stay open to every peer that was pinged.

    A daemon pings hundreds of peers. An idle link must close, and the next
    message must open it again.
    """

    async def run() -> None:
        async with connected_networks(idle_timeout_s=0.3) as (first, second):
            received = []
            second.on_message(Gossip, lambda _, m: received.append(m))
            first.send('b', Gossip(()))
            while not received:
                await asyncio.sleep(0.01)
            sent = first.traffic()
            await asyncio.sleep(0.7)
            assert not first._link_by_host
            assert first.traffic() >= sent
            first.send('b', Gossip(()))
            while len(received) < 2:
                await asyncio.sleep(0.01)

    asyncio.run(run())


def test_links_may_fall_idle_while_the_network_closes():
    """Guards against a close that fails because an idle link was removed.

    The idle check can run while the network closes its links one by one.
    """

    async def run() -> None:
        async with connected_networks() as (first, _):
            first.set_address('c', free_address())
            for host in 'bc':
                first.send(host, Gossip(()))
            links = tuple(first._link_by_host.values())
            while not all(link.idle for link in links):
                await asyncio.sleep(0.002)
            close_first = links[0].__aexit__

            async def close_with_idle_check() -> None:
                for link in links:
                    link.last_used_at_s = -99
                assert all(link.idle for link in links)
                first._close_idle_links()
                await close_first()

            links[0].__aexit__ = close_with_idle_check
            await first.__aexit__()

    asyncio.run(run())


def test_control_messages_go_first():
    """Guards against pings that wait behind queued work.

    Late pings would make overloaded peers declare each other dead.
    """

    async def run() -> None:
        async with connected_networks() as (first, second):
            handled = []
            second.on_message(Gossip, lambda _, m: handled.append('control'))
            second.on_message(CancelWork, lambda _, m: handled.append('bulk'))
            for number in range(200):
                first.send('b', CancelWork(f'{number}'))
            first.send('b', Gossip(()))
            link = first._link_by_host['b']
            assert link._next_frame().envelopes[0].kind == 'Gossip'
            link.queue(encode_message(Gossip(())))
            for _ in range(200):
                link.queue(encode_message(CancelWork('x')))
            while len(handled) < 201:
                await asyncio.sleep(0.001)
            assert handled[0] == 'control'

    asyncio.run(run())


def make_frame(*envelopes) -> Frame:
    return Frame(FRAME_VERSION, 'a', 1, '127.0.0.1:1', envelopes)


def test_received_control_messages_overtake_a_backlog():
    """Guards against control messages that wait behind received work.

    Witnesses and the failure detector need them in time.
    """

    async def run() -> None:
        async with connected_networks() as (_, second):
            handled = []
            second.on_message(Gossip, lambda _, m: handled.append('control'))
            second.on_message(
                CancelWork, lambda _, m: handled.append(int(m.attempt_id))
            )
            works = [encode_message(CancelWork(f'{n}')) for n in range(100)]
            second._receive(make_frame(*works))
            await asyncio.sleep(0)
            second._receive(make_frame(encode_message(Gossip(()))))
            assert handled.index('control') < 50
            while len(handled) < 101:
                await asyncio.sleep(0)
            handled.remove('control')
            assert handled == list(range(100))

    asyncio.run(run())


def test_full_backlog_refuses_requests_and_keeps_replies():
    """Guards against requests or replies that a full backlog drops silently.

    A refused request is answered with `not_run`. A dropped reply would be
    lost, so replies are accepted beyond the limit.
    """

    async def run() -> None:
        handled = []
        backlog = Backlog(2, lambda _, envelope: handled.append(envelope))
        request = encode_message(CancelWork('x'), 1)
        reply = encode_message(CancelWork('x'), 1, reply=True)
        assert [backlog.add(None, request) for _ in '123'] == [1, 1, 0]
        assert backlog.add(None, reply)
        await asyncio.sleep(0)
        assert handled == [request, request, reply]

    asyncio.run(run())


def test_frames_do_not_wait_for_one_turn_each():
    """Guards against one received frame per turn of the event loop.

    With turns of 10 ms, a ping would wait one turn for each frame before it.
    """

    async def run() -> None:
        async with connected_networks() as (_, second):
            received, turns = [], 0
            second.on_message(
                CancelWork, lambda _, m: received.append(int(m.attempt_id))
            )
            with pynng.Push0(
                dial=f'tcp://{second.options.listen_address}'
            ) as s:
                for number in range(100):
                    work = encode_message(CancelWork(f'{number}'))
                    s.send(encode_frame(make_frame(work)))
                while len(received) < 100:
                    # Block the event loop, as other work does.
                    time.sleep(0.01)
                    await asyncio.sleep(0)
                    turns += 1
            assert received == list(range(100))
            assert turns < 50

    asyncio.run(run())
