"""Links between daemons."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from contextlib import asynccontextmanager

import msgspec
import pytest

from boragespool.messages import Ack, Gossip, Ping, PingRequest
from boragespool.peers import PeerNetwork, PeerOptions
from boragespool.peers.frames import (
    FRAME_VERSION,
    Frame,
    decode_frame,
    encode_message,
)
from boragespool.peers.link import PeerLink
from boragespool.results import Failure, ResultCode
from boragespool.timers import LoopTimers, VirtualTimers
from tests.relay import Relay


def free_address() -> str:
    """Return an address on the loopback interface that nobody uses."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


@asynccontextmanager
async def pair(idle_timeout_s: float = 10, new_timers=LoopTimers):
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
        async with pair() as (first, second):

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
        async with pair() as (first, second):
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
        async with pair() as (first, _):
            refused = await first.request('b', Ping(), 2)
            assert isinstance(refused, Failure)
            assert refused.code == ResultCode.PEER_REFUSED
            unknown = await first.request('nobody', Ping(), 1)
            assert unknown.code == ResultCode.PEER_UNREACHABLE

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
        async with pair() as (first, second):
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
        async with pair(new_timers=lambda: timers) as (first, second):

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
        async with pair(new_timers=lambda: timers) as (first, second):
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


class SwallowingSocket:
    """Completes just when it is cancelled, as pynng does now and then."""

    async def _finish(self) -> bytes:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(10)
        return b''

    async def asend(self, encoded: bytes) -> None:
        await self._finish()

    async def arecv(self) -> bytes:
        return await self._finish()

    def close(self) -> None:
        """Do nothing."""


def test_close_ends_when_pynng_swallows_the_cancellation():
    """A frame that is sent or received at that moment must not hang a stop."""

    async def run() -> None:
        options = PeerOptions('a', 1, free_address())
        async with PeerNetwork(options, LoopTimers()) as network:
            network._socket = SwallowingSocket()
            async with PeerLink('127.0.0.1:1', options, LoopTimers()) as link:
                link._socket.close()
                link._socket = SwallowingSocket()
                link.queue(encode_message(Gossip(())))
                await asyncio.sleep(0.05)

    started_s = time.monotonic()
    asyncio.run(asyncio.wait_for(run(), 3))
    assert time.monotonic() - started_s < 2


def test_idle_link_is_closed_and_dialled_again():
    """A daemon that pings hundreds of peers must not keep all their links."""

    async def run() -> None:
        async with pair(idle_timeout_s=0.3) as (first, second):
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
        async with pair() as (first, _):
            first.set_address('c', free_address())
            for host in 'bc':
                first.send(host, Gossip(()))
            links = tuple(first._link_by_host.values())
            while not all(link.idle for link in links):
                await asyncio.sleep(0.002)
            close_first = links[0].__aexit__

            async def close_with_idle_check() -> None:
                for link in links:
                    link.used_at_s = -99
                assert all(link.idle for link in links)
                first._close_idle_links()
                await close_first()

            links[0].__aexit__ = close_with_idle_check
            await first.__aexit__()

    asyncio.run(run())
