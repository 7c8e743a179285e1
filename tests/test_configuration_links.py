"""Configuration controllers with real peer links and a platform stand-in."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from boragespool.bench.ports import free_address
from boragespool.blackboard import Blackboard
from boragespool.blackboard.topics import (
    DOCUMENT_IN_FORCE,
    LEAVING_HOSTS,
    MEMBERS,
)
from boragespool.controllers.configuration.configuration import (
    ConfigurationController,
)
from boragespool.controllers.context import Context, Identity
from boragespool.messages import MemberRecord
from boragespool.peers import PeerNetwork, PeerOptions
from boragespool.standins.platform import Platform
from boragespool.store import HostEntry, HostState, StoreClient
from boragespool.timers import LoopTimers
from boragespool.types import MemberStatus
from tests.test_configuration import encoded_documents

HOSTS = tuple(f'h{number}' for number in range(5))


def member_record(host, board):
    """Return the member record of a daemon with its revision in force."""
    document = board.read(DOCUMENT_IN_FORCE)
    return MemberRecord(
        host, 1, 1, MemberStatus.ALIVE, 'north', 'north', '', '',
        revision=document.revision if document else 0,
    )  # fmt: skip


async def post_members_until(condition, boards_by_host):
    """Post member records at all daemons until a condition holds.

    The limit of 10 s only ends a test that hangs; the tests in virtual time
    check the goal of 3 s.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while not condition():
        assert loop.time() - began_s < 10
        members = {
            host: member_record(host, board)
            for host, board in boards_by_host.items()
        }
        for board in boards_by_host.values():
            board.post(MEMBERS, members)
        await asyncio.sleep(0.05)


def test_revision_and_leaving_hosts_cross_real_links():
    """Guards against controllers that only work with fakes.

    The fakes of the other tests skip the encoding of messages and the HTTP
    protocol of the platform.
    """

    async def run() -> None:
        boards_by_host = {host: Blackboard() for host in HOSTS}
        address_by_host = {host: free_address() for host in HOSTS}
        async with AsyncExitStack() as stack:
            enter = stack.enter_async_context
            platform = await enter(Platform())
            store = await enter(StoreClient(platform.address, 1))
            writer = await enter(StoreClient(platform.address, 1))
            controllers = []
            for host in HOSTS:
                options = PeerOptions(host, 1, address_by_host[host])
                peers = await enter(PeerNetwork(options, LoopTimers()))
                for other in HOSTS:
                    peers.set_address(other, address_by_host[other])
                identity = Identity(
                    host, 1, 'north', 'north', address_by_host[host], ''
                )
                context = Context(
                    identity,
                    boards_by_host[host],
                    LoopTimers(),
                    peers,
                    lambda: 0.5,
                )
                controllers.append(
                    await enter(ConfigurationController(context, store))
                )
            await post_members_until(
                lambda: (
                    sum(controller.is_watcher for controller in controllers)
                    == 3
                ),
                boards_by_host,
            )
            for number, text in enumerate(encoded_documents(2)):
                await writer.put('config/current', text, number)
                await post_members_until(
                    lambda wanted=number + 1: all(
                        member_record(host, board).revision == wanted
                        for host, board in boards_by_host.items()
                    ),
                    boards_by_host,
                )
            platform.set_hosts((HostEntry('b1', HostState.LEAVING),))
            await post_members_until(
                lambda: all(
                    board.read(LEAVING_HOSTS) == {'b1'}
                    for board in boards_by_host.values()
                ),
                boards_by_host,
            )

    asyncio.run(run())
