"""Commands that talk to daemons."""

from __future__ import annotations

import asyncio
import pathlib
from dataclasses import astuple, replace
from typing import TYPE_CHECKING, Any, Final

import msgspec

from boragespool.cli.entries import Reply, call_entry, call_first
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
_OPTIONAL: Final = ('rank', 'deadline_ms')
_MS_PER_S: Final = 1_000


async def status(call: Invocation) -> Outcome | Failure:
    """Show the status of each daemon that is named."""
    entries = tuple(call.flags['entry'])
    replies = await asyncio.gather(
        *(
            call_entry(entry, '/v1/status', call.flags['timeout_s'])
            for entry in entries
        ),
    )
    bodies: dict[str, Any] = {}
    rows: list[tuple[Any, ...]] = []
    notes: list[str] = []
    for entry, reply in zip(entries, replies, strict=True):
        if isinstance(reply, Failure):
            bodies[entry] = {'failure': {'reason': reply.reason}}
            notes.append(error_line(reply.code, reply.reason))
        else:
            bodies[entry] = reply.body
            rows.append((entry, *astuple(parse_status(reply.body))))
    return Outcome(
        bodies,
        ('entry', 'host', 'phase', 'revision', 'live members', 'servers',
         'in flight', 'blocked'),
        tuple(rows),
        tuple(notes),
        ExitCode.REFUSED if notes else ExitCode.DONE,
    )  # fmt: skip


async def query(call: Invocation) -> Outcome | Failure:
    """Send one query; further entries are asked if one does not answer."""
    body = _read_body(call)
    if isinstance(body, Failure):
        return body
    reply = await call_first(
        tuple(call.flags['entry']),
        '/v1/query',
        _timeout_s(call),
        body,
    )
    if isinstance(reply, Failure):
        # A query may run twice, so its run state does not matter.
        return replace(describe_failure(reply), exit_code=ExitCode.REFUSED)
    return _answer(reply)


async def claim(call: Invocation) -> Outcome | Failure:
    """Send one claim, at most once, under a ticket."""
    body = _read_body(call)
    if isinstance(body, Failure):
        return body
    ticket = call.flags['ticket'] or await _take_ticket(call)
    if isinstance(ticket, Failure):
        return ticket
    # Another daemon forwards the ticket to its issuer, so that asking the
    # next entry cannot run the claim again.
    reply = await call_first(
        tuple(call.flags['entry']),
        '/v1/claim',
        _timeout_s(call),
        {**body, 'ticket': ticket},
    )
    if isinstance(reply, Reply):
        return _answer(reply, ticket)
    if reply.run is RunState.NOT_RUN:
        return reply
    return Failure(
        reply.code,
        f'{reply.reason}; the outcome is not known, ask again with '
        f'--ticket {ticket}',
        RunState.UNKNOWN,
    )


async def _take_ticket(call: Invocation) -> str | Failure:
    reply = await call_first(
        tuple(call.flags['entry']),
        '/v1/addresses?count=1&tickets=1',
        call.flags['timeout_s'],
    )
    if isinstance(reply, Failure):
        return Failure(reply.code, reply.reason)
    tickets = reply.body.get('tickets') if _is_table(reply.body) else None
    if not tickets:
        return Failure(
            ResultCode.NOT_READY,
            f'{reply.entry!r} issued no ticket: {reply.body!r}',
        )
    return str(tickets[0])


def _read_body(call: Invocation) -> dict[str, Any] | Failure:
    """Return the request with the JSON that was given, or of a file."""
    text = call.arguments['BODY']
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
        name: call.flags[name]
        for name in _OPTIONAL
        if call.flags[name] is not None
    }
    return {
        'route': call.arguments['ROUTE'],
        'caller': call.flags['caller'],
        'body': body,
        **optional,
    }


def _timeout_s(call: Invocation) -> float:
    """Leave the daemon its deadline; it answers at the deadline at latest."""
    deadline_ms = call.flags['deadline_ms'] or 0
    return float(call.flags['timeout_s'] + deadline_ms / _MS_PER_S)


def _answer(reply: Reply, ticket: str = '') -> Outcome:
    body = {'status': reply.status, 'answer': reply.body}
    if ticket:
        body['ticket'] = ticket
    text = msgspec.json.format(msgspec.json.encode(body), indent=2).decode()
    return Outcome(body, notes=(text,), exit_code=_answer_code(reply))


def _answer_code(reply: Reply) -> ExitCode:
    if reply.status == _OK:
        return ExitCode.DONE
    run = reply.body.get('run') if _is_table(reply.body) else None
    if run == RunState.UNKNOWN:
        return ExitCode.UNKNOWN
    return ExitCode.REFUSED


def _is_table(body: Any) -> bool:
    return isinstance(body, dict)
