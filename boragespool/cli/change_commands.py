"""Commands that write a revision."""

from __future__ import annotations

import pathlib
import time
import uuid
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from boragespool.cli.outcome import ExitCode, Outcome, describe_failure
from boragespool.cli.settings_commands import difference_rows, open_store
from boragespool.cli.waiting import wait_in_force
from boragespool.controllers.configuration.applying import (
    AppliedChange,
    RevisionConflict,
    apply_change,
)
from boragespool.controllers.configuration.store_access import read_revision
from boragespool.results import Failure, ResultCode
from boragespool.revisions import (
    Change,
    RevisionDocument,
    check_change,
    clear_fingerprint,
    difference,
    next_document,
    undrained_servers,
    with_host_drained,
)
from boragespool.settings import Settings, load_folder

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.cli.invocation import Invocation

    _Build = Callable[[RevisionDocument, Change], RevisionDocument | Failure]


async def apply(call: Invocation) -> Outcome | Failure:
    """Put a folder in force."""
    settings = load_folder(pathlib.Path(call.arguments['FOLDER']))
    if isinstance(settings, Failure):
        return settings
    return await _replace_settings(call, settings)


async def rollback(call: Invocation) -> Outcome | Failure:
    """Put the settings of a replaced revision in force again."""
    revision = _whole_number(call.arguments['REVISION'], 'revision')
    if isinstance(revision, Failure):
        return revision
    async with open_store(call) as store:
        kept = await read_revision(store, revision)
    if isinstance(kept, Failure):
        return kept
    return await _replace_settings(call, kept.settings)


async def drain(call: Invocation) -> Outcome | Failure:
    """Drain, or put to work, the backend servers of a host."""

    def build(
        base: RevisionDocument,
        change: Change,
    ) -> RevisionDocument | Failure:
        marked = with_host_drained(
            base.settings,
            call.arguments['HOST'],
            drained=call.command == 'drain',
        )
        if isinstance(marked, Failure):
            return marked
        return next_document(marked, base, change)

    return await _change(call, build)


async def clear(call: Invocation) -> Outcome | Failure:
    """Clear a blocked fingerprint at every daemon."""
    fingerprint = _whole_number(call.arguments['FINGERPRINT'], 'fingerprint')
    if isinstance(fingerprint, Failure):
        return fingerprint
    return await _change(
        call,
        lambda base, change: clear_fingerprint(fingerprint, base, change),
    )


async def _replace_settings(
    call: Invocation,
    settings: Settings,
) -> Outcome | Failure:
    def build(
        base: RevisionDocument,
        change: Change,
    ) -> RevisionDocument | Failure:
        names = undrained_servers(base.settings, settings)
        if names and not call.flags['undrain']:
            return Failure(
                ResultCode.INVALID_SETTING,
                f'the change would put drained backend servers {names!r} to '
                'work; set drained = true for them or pass --undrain',
            )
        return next_document(settings, base, change)

    return await _change(call, build, settings)


async def _change(
    call: Invocation,
    build: _Build,
    first: Settings | None = None,
) -> Outcome | Failure:
    """Write one revision and wait for it if that is asked for."""
    change = Change(
        uuid.uuid4().hex,
        call.command,
        call.flags['author'],
        time.time(),
        call.flags['note'],
    )
    refused = check_change(change)
    if refused is not None:
        return refused

    def build_on(base: RevisionDocument | None) -> RevisionDocument | Failure:
        if base is not None:
            return build(base, change)
        if first is None:
            return Failure(
                ResultCode.REVISION_UNKNOWN,
                'the store holds no revision yet',
            )
        return next_document(first, None, change)

    async with open_store(call) as store:
        result = await apply_change(
            store,
            build_on,
            call.flags['patience_s'],
            call.flags['base'],
            first,
        )
    if isinstance(result, Failure):
        return result
    if isinstance(result, RevisionConflict):
        return _describe_refusal(result)
    return await _describe_applied(call, result)


def _describe_refusal(refused: RevisionConflict) -> Outcome:
    """Show the winner and how it differs from what was wanted."""
    found = refused.found
    author = found.audit[-1].author if found.audit else ''
    differences = difference(found.settings, refused.wanted.settings)
    reason = (
        f'revision {found.revision!r} by {author!r} is in the store; '
        'nothing of this change is in force'
    )
    described = describe_failure(
        Failure(ResultCode.REVISION_CONFLICT, reason),
    )
    return replace(
        described,
        body={
            **described.body,
            'revision': found.revision,
            'difference': differences,
        },
        headings=('setting', 'in the store', 'wanted'),
        rows=difference_rows(differences),
    )


async def _describe_applied(
    call: Invocation, applied: AppliedChange
) -> Outcome:
    document = applied.document
    before = applied.before.settings if applied.before else Settings()
    differences = difference(before, document.settings)
    body: dict[str, Any] = {
        'revision': document.revision,
        'change_id': document.change_id,
        'difference': differences,
    }
    notes = [f'revision {document.revision} is accepted']
    exit_code = ExitCode.DONE
    if call.flags['wait']:
        waited = await wait_in_force(
            document.revision,
            tuple(call.flags['entry']),
            call.flags['wait_s'],
            call.flags['timeout_s'],
        )
        body['lagging'] = waited.lagging
        body['in_force_at'] = waited.in_force
        notes.append(waited.text)
        exit_code = ExitCode.DONE if waited.done else ExitCode.LAGGING
    return Outcome(
        body,
        ('setting', 'before', 'now'),
        difference_rows(differences),
        tuple(notes),
        exit_code,
    )


def _whole_number(text: str, name: str) -> int | Failure:
    """Read a decimal number, or a hexadecimal one with 0x."""
    try:
        number = int(text, 0)
    except ValueError:
        number = -1
    if number < 0:
        return Failure(
            ResultCode.INVALID_SETTING,
            f'{name} {text!r} is not allowed; allowed: whole numbers from 0, '
            'decimal or hexadecimal with 0x',
        )
    return number
