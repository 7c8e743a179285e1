"""Links between daemons."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from contextlib import asynccontextmanager

import msgspec
import pynng
import pytest

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


def free_address() -> str:
    """Return an address on the loopback interface that nobody uses."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


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
    """Two networks that know each other."""
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
    """Replies that arrive crossed must not reach another request."""

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
    """One frame per message would exceed the control budget."""

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
    """A request must not hang when nobody can answer it."""

    async def run() -> None:
        async with connected_networks() as (first, _):
            refused = await first.request('b', Ping(), 2)
            assert isinstance(refused, Failure)
            assert refused.code == ResultCode.PEER_REFUSED
            unknown = await first.request('nobody', Ping(), 1)
            assert unknown.code == ResultCode.PEER_UNREACHABLE

    asyncio.run(run())


def test_abandoned_call_gets_no_late_reply():
    """A reply after the end of a wait must not reach anybody."""

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
    """A handler that raises must neither hang its caller nor its frame."""

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
                # Without the handler's failure the wait ends by its timeout.
                assert 'handler' in result.reason

    asyncio.run(run())


def test_other_frame_version_is_refused():
    """A release must not guess at frames of another version."""
    frame = Frame(FRAME_VERSION + 1, 'a', 1, '127.0.0.1:1', ())
    refused = decode_frame(msgspec.msgpack.encode(frame))
    assert isinstance(refused, Failure)
    assert refused.code == ResultCode.PEER_VERSION


def test_unknown_fields_are_ignored():
    """A newer release may add fields to a frame."""
    frame = msgspec.to_builtins(Frame(FRAME_VERSION, 'a', 1, 'x:1', ()))
    frame['added_later'] = 1
    assert isinstance(decode_frame(msgspec.msgpack.encode(frame)), Frame)


def test_silent_link_is_dialled_again():
    """A connection that swallows data must be replaced by probing."""

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
                assert relay.accepted == 2

    asyncio.run(run())


def test_answered_requests_need_no_probes():
    """Probes of pings and their answers were two thirds of all frames."""
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
    """A reply must not hide that what followed its request was lost."""
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
                while relay.accepted < 2:
                    await asyncio.sleep(0.05)
                    timers.advance(first.options.probe_interval_s)

    asyncio.run(asyncio.wait_for(run(), 5))


class UncancellableSocket:
    """Completes just when it is cancelled, as pynng does now and then."""

    def send(self, encoded: bytes, *, block: bool) -> None:
        raise pynng.TryAgain('the send buffer is full', 8)

    async def asend(self, encoded: bytes) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(10)

    def close(self) -> None:
        """Do nothing."""


def test_close_ends_when_pynng_swallows_the_cancellation():
    """A frame that is sent at that moment must not hang a stop."""

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
    """A daemon that pings hundreds of peers must not keep all their links."""

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
    """The idle check must not disturb the closing of the other links."""

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
    """Pings behind a flood of work would make peers take each other for dead."""

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
    """A backlog of work must not hold up witnesses and the failure detector."""

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
    """A dropped request must be `not_run`; a dropped reply would be lost."""

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
    """With long turns, pings would wait behind all frames before them."""

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
                    # A turn of the loop that is busy with other work.
                    time.sleep(0.01)
                    await asyncio.sleep(0)
                    turns += 1
            assert received == list(range(100))
            assert turns < 50

    asyncio.run(run())
