"""Exchange of server records between daemons with real links."""

from __future__ import annotations

import asyncio

from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, MEMBERS, SERVERS
from boragespool.controllers.backend_servers.servers import ServerController
from boragespool.messages import ServerAnnouncement, ServerDigest
from boragespool.results import ResultCode
from boragespool.types import MemberStatus
from tests.fake_backend import daemon_context
from tests.test_servers import (
    DRAINING,
    FAST,
    SLOW,
    members,
    run,
    states,
    until,
)


def test_lost_announcement_is_repaired():
    """Guards against a record that stays outdated after a lost announcement.

    All announcements of the change are dropped; the digest exchange must
    repair it.
    """

    async def scenario(backends, both):
        for context in both:
            send = context.peers.send

            def lose(host, message, send=send):
                is_change = isinstance(message, ServerAnnouncement)
                if is_change and not message.is_repair:
                    return True
                return send(host, message)

            context.peers.send = lose
        backends['x'].state = 'draining'
        for context in both:
            await until(lambda c=context: states(c)['x'] == DRAINING, 2)

    run(scenario)


def test_new_daemon_gets_all_records_at_once():
    """Guards against a started daemon that refuses queries.

    It needs the records of all servers at once, before its first poll.
    """

    async def scenario(_backends, both):
        first, second = both
        known = first.board.read(SERVERS)
        async with daemon_context(
            first.board.read(DOCUMENT_IN_FORCE), 'c'
        ) as third:
            for context in both:
                host = context.identity.host
                third.peers.set_address(host, context.identity.peer_address)
            everyone = members(*both, third, c=MemberStatus.LEAVING)
            third.board.post(MEMBERS, everyone)
            async with ServerController(third, SLOW):
                await until(lambda: third.board.read(SERVERS) == known, 1)

    run(scenario, SLOW)


def test_new_daemon_does_not_claim_what_others_serve():
    """Guards against a started daemon that announces servers of others.

    As long as it knows few members, it assigns itself too many servers.
    """

    async def scenario(_backends, both):
        first, second = both
        known = first.board.read(SERVERS)
        async with daemon_context(
            first.board.read(DOCUMENT_IN_FORCE), 'c', 2
        ) as third:
            for context in both:
                host = context.identity.host
                third.peers.set_address(host, context.identity.peer_address)
            third.board.post(MEMBERS, members(third))
            async with ServerController(third, FAST):
                await until(lambda: len(third.board.read(SERVERS)) == 3)
                third.board.post(MEMBERS, members(*both, third))
                await until(lambda: third.board.read(SERVERS) == known)
                await asyncio.sleep(0.5)
                assert third.board.read(SERVERS) == known
                assert first.board.read(SERVERS) == known

    run(scenario)


def test_invalid_digest_is_refused():
    """Guards against a handler that fails on digests of another release.

    They have an unexpected length and must be refused.
    """

    async def scenario(_backends, both):
        for hashes in (b'', b'123', bytes(12), bytes(4_096)):
            answer = await both[0].peers.request('b', ServerDigest(hashes), 1)
            assert answer.code == ResultCode.PEER_REFUSED

    run(scenario, SLOW)
