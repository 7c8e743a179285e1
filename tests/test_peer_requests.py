"""Replies between daemons: unknown result codes and repeated replies."""

from __future__ import annotations

from boragespool.messages import Ack, Ping
from boragespool.peers.frames import Refusal
from boragespool.peers.handlers import Handlers, Sender
from boragespool.peers.pending_requests import PendingRequests
from boragespool.results import ResultCode
from boragespool.tasks import TaskSet
from boragespool.types import RunState

UNKNOWN_CODE = 9_876


def test_refusal_with_an_unknown_code_ends_the_request():
    """A refusal of a newer release must not leave its request waiting.

    The code raised, and the requester waited for its timeout.
    """
    pending = PendingRequests()
    results = []
    exchange = pending.add(results.append)
    pending.resolve(exchange, Refusal(UNKNOWN_CODE, 'new', RunState.NOT_RUN))
    assert [result.code for result in results] == [ResultCode.PEER_REFUSED]
    assert results[0].run is RunState.NOT_RUN
    assert str(UNKNOWN_CODE) in results[0].reason


def test_handler_that_fails_after_its_reply_replies_once():
    """A request must have one reply, also if its handler raises later."""
    handlers = Handlers(TaskSet())
    replies = []

    def reply_and_fail(sender, message, reply):
        reply(Ack())
        reply(Ack())
        raise ValueError(sender, message)

    handlers.on_request_with_callback(Ping, reply_and_fail)
    handlers.handle_request(Sender('b', 1, 'b:1'), Ping(()), replies.append)
    assert replies == [Ack()]
