"""Commands that write a new revision of the settings to the store."""

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

    _BuildDocument = Callable[
        [RevisionDocument, Change], RevisionDocument | Failure
    ]


async def apply(invocation: Invocation) -> Outcome | Failure:
    """Write the settings of a folder as a new revision."""
    settings = load_folder(pathlib.Path(invocation.arguments['FOLDER']))
    if isinstance(settings, Failure):
        return settings
    return await _replace_settings(invocation, settings)


async def rollback(invocation: Invocation) -> Outcome | Failure:
    """Write the settings of a replaced revision as a new one."""
    revision = _parse_whole_number(invocation.arguments['REVISION'], 'revision')
    if isinstance(revision, Failure):
        return revision
    async with open_store(invocation) as store:
        replaced_document = await read_revision(store, revision)
    if isinstance(replaced_document, Failure):
        return replaced_document
    return await _replace_settings(invocation, replaced_document.settings)


async def drain(invocation: Invocation) -> Outcome | Failure:
    """Mark the backend servers of a host as drained or not drained."""

    def build(
        base: RevisionDocument,
        change: Change,
    ) -> RevisionDocument | Failure:
        new_settings = with_host_drained(
            base.settings,
            invocation.arguments['HOST'],
            drained=invocation.command == 'drain',
        )
        if isinstance(new_settings, Failure):
            return new_settings
        return next_document(new_settings, base, change)

    return await _write_revision(invocation, build)


async def clear(invocation: Invocation) -> Outcome | Failure:
    """Write a revision that unblocks a fingerprint at every daemon."""
    fingerprint = _parse_whole_number(
        invocation.arguments['FINGERPRINT'], 'fingerprint'
    )
    if isinstance(fingerprint, Failure):
        return fingerprint
    return await _write_revision(
        invocation,
        lambda base, change: clear_fingerprint(fingerprint, base, change),
    )


async def _replace_settings(
    invocation: Invocation,
    settings: Settings,
) -> Outcome | Failure:
    def build(
        base: RevisionDocument,
        change: Change,
    ) -> RevisionDocument | Failure:
        drained_names = undrained_servers(base.settings, settings)
        if drained_names and not invocation.flags['undrain']:
            return Failure(
                ResultCode.INVALID_SETTING,
                'the change would put drained backend servers '
                f'{drained_names!r} to work; set drained = true for them or '
                'pass --undrain',
            )
        return next_document(settings, base, change)

    return await _write_revision(invocation, build, settings)


async def _write_revision(
    invocation: Invocation,
    build: _BuildDocument,
    replacement_settings: Settings | None = None,
) -> Outcome | Failure:
    """Write a new revision; with ``--wait``, wait until it is in force.

    Parameters
    ----------
    invocation : Invocation
        Parsed command line.
    build : callable
        Returns the new document for the document in the store.
    replacement_settings : Settings, optional
        All settings of the new revision, if the change replaces them. They
        are the first revision if the store holds none, and their parts need
        not be read from the store.
    """
    change = Change(
        uuid.uuid4().hex,
        invocation.command,
        invocation.flags['author'],
        time.time(),
        invocation.flags['note'],
    )
    change_failure = check_change(change)
    if change_failure is not None:
        return change_failure

    def build_on(base: RevisionDocument | None) -> RevisionDocument | Failure:
        if base is not None:
            return build(base, change)
        if replacement_settings is None:
            return Failure(
                ResultCode.REVISION_UNKNOWN,
                'the store holds no revision yet; apply writes the first one',
            )
        return next_document(replacement_settings, None, change)

    async with open_store(invocation) as store:
        result = await apply_change(
            store,
            build_on,
            invocation.flags['patience_s'],
            invocation.flags['base'],
            replacement_settings,
        )
    if isinstance(result, Failure):
        return result
    if isinstance(result, RevisionConflict):
        return _describe_refusal(result)
    return await _describe_applied(invocation, result)


def _describe_refusal(refused: RevisionConflict) -> Outcome:
    """Show the conflicting revision and its difference from this change."""
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
    invocation: Invocation, applied: AppliedChange
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
    if invocation.flags['wait']:
        wait_result = await wait_in_force(
            document.revision,
            tuple(invocation.flags['entry']),
            invocation.flags['wait_s'],
            invocation.flags['timeout_s'],
        )
        body['lagging'] = wait_result.lagging
        body['in_force_at'] = wait_result.in_force
        notes.append(wait_result.summary)
        exit_code = ExitCode.DONE if wait_result.is_done else ExitCode.LAGGING
    return Outcome(
        body,
        ('setting', 'before', 'now'),
        difference_rows(differences),
        tuple(notes),
        exit_code,
    )


def _parse_whole_number(text: str, name: str) -> int | Failure:
    """Parse a decimal number, or a hexadecimal one with the prefix 0x."""
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
