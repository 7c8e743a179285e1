"""Commands that send requests to daemons."""

from __future__ import annotations

import asyncio
import pathlib
from dataclasses import astuple, replace
from typing import TYPE_CHECKING, Any, Final

import msgspec

from boragespool.cli.daemon_client import (
    Reply,
    request_daemon,
    request_first_available,
)
from boragespool.cli.fleet_status import parse_status
from boragespool.cli.outcome import (
    ExitCode,
    Outcome,
    describe_failure,
    error_line,
)
from boragespool.results import Failure, ResultCode
from boragespool.types import RunState

if TYPE_CHECKING:
    from boragespool.cli.invocation import Invocation

_OK: Final = 200
_OPTIONAL_FLAGS: Final = ('rank', 'deadline_ms')
_MS_PER_S: Final = 1_000


async def status(invocation: Invocation) -> Outcome | Failure:
    """Show the status of the daemons given by ``--entry``."""
    addresses = tuple(invocation.flags['entry'])
    replies = await asyncio.gather(
        *(
            request_daemon(address, '/v1/status', invocation.flags['timeout_s'])
            for address in addresses
        ),
    )
    bodies: dict[str, Any] = {}
    rows: list[tuple[Any, ...]] = []
    notes: list[str] = []
    for address, reply in zip(addresses, replies, strict=True):
        if isinstance(reply, Failure):
            bodies[address] = {'failure': {'reason': reply.reason}}
            notes.append(error_line(reply.code, reply.reason))
        else:
            bodies[address] = reply.body
            rows.append((address, *astuple(parse_status(reply.body))))
    return Outcome(
        bodies,
        ('entry', 'host', 'phase', 'revision', 'live members', 'servers',
         'in flight', 'blocked'),
        tuple(rows),
        tuple(notes),
        ExitCode.REFUSED if notes else ExitCode.DONE,
    )  # fmt: skip


async def query(invocation: Invocation) -> Outcome | Failure:
    """Send one query to the first daemon that responds."""
    body = _build_request_body(invocation)
    if isinstance(body, Failure):
        return body
    reply = await request_first_available(
        tuple(invocation.flags['entry']),
        '/v1/query',
        _timeout_s(invocation),
        body,
    )
    if isinstance(reply, Failure):
        # A query may run twice, so an unknown run state is no special case.
        return replace(describe_failure(reply), exit_code=ExitCode.REFUSED)
    return _describe_reply(reply)


async def claim(invocation: Invocation) -> Outcome | Failure:
    """Send one claim with a ticket, so that it runs at most once."""
    body = _build_request_body(invocation)
    if isinstance(body, Failure):
        return body
    ticket = invocation.flags['ticket'] or await _fetch_ticket(invocation)
    if isinstance(ticket, Failure):
        return ticket
    # Daemons forward a claim to the issuer of its ticket, which runs it at
    # most once. So it is safe to resend the claim to the next address.
    reply = await request_first_available(
        tuple(invocation.flags['entry']),
        '/v1/claim',
        _timeout_s(invocation),
        {**body, 'ticket': ticket},
    )
    if isinstance(reply, Reply):
        return _describe_reply(reply, ticket)
    if reply.run is RunState.NOT_RUN:
        return reply
    return Failure(
        reply.code,
        f'{reply.reason}; the outcome is not known; repeat the command with '
        f'--ticket {ticket}',
        RunState.UNKNOWN,
    )


async def _fetch_ticket(invocation: Invocation) -> str | Failure:
    reply = await request_first_available(
        tuple(invocation.flags['entry']),
        '/v1/addresses?count=1&tickets=1',
        invocation.flags['timeout_s'],
    )
    if isinstance(reply, Failure):
        return Failure(reply.code, reply.reason)
    tickets = reply.body.get('tickets') if _is_json_object(reply.body) else None
    if not tickets:
        return Failure(
            ResultCode.NOT_READY,
            f'{reply.address!r} issued no ticket: {reply.body!r}',
        )
    return str(tickets[0])


def _build_request_body(invocation: Invocation) -> dict[str, Any] | Failure:
    """Return the body of a query or claim.

    The argument ``BODY`` is JSON or names a file with JSON.
    """
    text = invocation.arguments['BODY']
    try:
        if text.startswith('@'):
            text = pathlib.Path(text[1:]).read_text(encoding='utf-8')
        body = msgspec.json.decode(text)
    except (OSError, UnicodeDecodeError, msgspec.DecodeError) as error:
        return Failure(
            ResultCode.INVALID_SETTING,
            f'body {text!r} is not allowed ({error}); allowed: JSON, or '
            '@FILE with JSON',
        )
    optional = {
        name: invocation.flags[name]
        for name in _OPTIONAL_FLAGS
        if invocation.flags[name] is not None
    }
    return {
        'route': invocation.arguments['ROUTE'],
        'caller': invocation.flags['caller'],
        'body': body,
        **optional,
    }


def _timeout_s(invocation: Invocation) -> float:
    """Return the request's deadline plus the timeout of a call.

    A daemon responds at the deadline at the latest.
    """
    deadline_ms = invocation.flags['deadline_ms'] or 0
    return float(invocation.flags['timeout_s'] + deadline_ms / _MS_PER_S)


def _describe_reply(reply: Reply, ticket: str = '') -> Outcome:
    body = {'status': reply.status, 'answer': reply.body}
    if ticket:
        body['ticket'] = ticket
    text = msgspec.json.format(msgspec.json.encode(body), indent=2).decode()
    return Outcome(body, notes=(text,), exit_code=_exit_code_of_reply(reply))


def _exit_code_of_reply(reply: Reply) -> ExitCode:
    if reply.status == _OK:
        return ExitCode.DONE
    run = reply.body.get('run') if _is_json_object(reply.body) else None
    if run == RunState.UNKNOWN:
        return ExitCode.UNKNOWN
    return ExitCode.REFUSED


def _is_json_object(body: Any) -> bool:
    return isinstance(body, dict)
