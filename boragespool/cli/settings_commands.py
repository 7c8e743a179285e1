"""Commands that read settings and revisions without changing them."""

from __future__ import annotations

import datetime
import pathlib
from typing import TYPE_CHECKING, Any

import msgspec

from boragespool.cli.outcome import ExitCode, Outcome, error_line
from boragespool.controllers.configuration.store_access import (
    no_revision_failure,
    read_audit_trail,
    read_base,
    read_current,
)
from boragespool.results import Failure
from boragespool.revisions import build_indexes, difference, split_settings
from boragespool.settings import (
    Settings,
    describe_problem,
    load_folder,
    load_folder_or_problems,
)
from boragespool.store import StoreClient

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.cli.invocation import Invocation
    from boragespool.revisions import Difference


def open_store(invocation: Invocation) -> StoreClient:
    """Return a client of the store at the address of ``--store``."""
    return StoreClient(invocation.flags['store'], invocation.flags['timeout_s'])


async def check(invocation: Invocation) -> Outcome | Failure:
    """Validate a settings folder and list every problem."""
    loaded = load_folder_or_problems(
        pathlib.Path(invocation.arguments['FOLDER'])
    )
    if isinstance(loaded, Settings):
        servers = sum(
            len(service.servers) for service in loaded.services.values()
        )
        counts = {
            'services': len(loaded.services),
            'servers': servers,
            'routes': len(loaded.routes),
        }
        return Outcome(
            {'valid': True, **counts},
            tuple(counts),
            (tuple(counts.values()),),
            ('the folder is valid',),
        )
    return Outcome(
        {'valid': False, 'problems': loaded},
        notes=tuple(
            error_line(problem.code, describe_problem(problem))
            for problem in loaded
        ),
        exit_code=ExitCode.REJECTED,
    )


async def diff(invocation: Invocation) -> Outcome | Failure:
    """Compare a settings folder with the revision in the store."""
    settings = load_folder(pathlib.Path(invocation.arguments['FOLDER']))
    if isinstance(settings, Failure):
        return settings
    async with open_store(invocation) as store:
        base = await read_base(
            store, build_indexes(split_settings(settings))[1]
        )
    if isinstance(base, Failure):
        return base
    revision = base.document.revision if base.document else 0
    before = base.document.settings if base.document else Settings()
    differences = difference(before, settings)
    return Outcome(
        {'revision': revision, 'difference': differences},
        ('setting', 'in the store', 'in the folder'),
        difference_rows(differences),
        (
            f'{len(differences)} settings differ from revision {revision}; '
            f'apply with --base {revision} to be sure that it is still there',
        ),
    )


async def show(invocation: Invocation) -> Outcome | Failure:
    """Show the revision in the store and its non-default settings."""
    async with open_store(invocation) as store:
        document = await read_current(store)
    if isinstance(document, Failure):
        return document
    changed_settings = difference(Settings(ranks={}), document.settings)
    return Outcome(
        {
            'revision': document.revision,
            'change_id': document.change_id,
            'settings': document.settings,
            'cleared': document.cleared,
        },
        ('setting', 'value'),
        tuple((setting.path, setting.new) for setting in changed_settings),
        (f'revision {document.revision}; settings at their default are '
         'left out',),
    )  # fmt: skip


async def audit(invocation: Invocation) -> Outcome | Failure:
    """List the changes of the audit trail, newest first."""
    async with open_store(invocation) as store:
        document = await read_audit_trail(store)
    if document is None:
        return no_revision_failure()
    if isinstance(document, Failure):
        return document
    entries = tuple(reversed(document.audit))
    return Outcome(
        msgspec.to_builtins(entries),
        ('revision', 'base', 'at', 'author', 'action', 'note', 'change'),
        tuple(
            (
                entry.revision,
                entry.base,
                _format_utc(entry.at_s),
                entry.author,
                entry.action,
                entry.note,
                entry.change_id,
            )
            for entry in entries
        ),
    )


def difference_rows(
    differences: Iterable[Difference],
) -> tuple[tuple[Any, ...], ...]:
    """Return table rows of setting path, old and new value."""
    return tuple((entry.path, entry.old, entry.new) for entry in differences)


def _format_utc(at_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return moment.isoformat(timespec='seconds')
