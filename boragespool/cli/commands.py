"""Table of the commands with their arguments, flags and examples."""

from __future__ import annotations

import importlib
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from boragespool.cli import (
    change_commands,
    daemon_commands,
    settings_commands,
)
from boragespool.cli.invocation import Command
from boragespool.results import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.cli.invocation import Invocation
    from boragespool.cli.outcome import Outcome

_STORE_FLAGS: Final = ('store', 'timeout_s')
_CHANGE_FLAGS: Final = (
    *_STORE_FLAGS,
    'patience_s',
    'author',
    'note',
    'base',
    'wait',
    'wait_s',
    'entry',
)
_DAEMON_FLAGS: Final = ('entry', 'timeout_s')
_REQUEST_FLAGS: Final = (*_DAEMON_FLAGS, 'caller', 'rank', 'deadline_ms')
_FOLDER_ARGUMENT: Final = MappingProxyType({'FOLDER': 'Settings folder.'})
_HOST_ARGUMENT: Final = MappingProxyType(
    {'HOST': 'Host, as in the settings of its backend servers.'},
)
_REQUEST_ARGUMENTS: Final = MappingProxyType(
    {
        'ROUTE': 'Name of a route.',
        'BODY': 'JSON, or @FILE for a file with JSON.',
    },
)
_NO_ARGUMENTS: Final[Mapping[str, str]] = MappingProxyType({})


async def _run_demo(_: Invocation) -> Outcome | Failure:
    """Run the demo; it is optional, so its module is imported here."""
    try:
        module = importlib.import_module('boragespool.cli.demo')
    except ModuleNotFoundError as error:
        return Failure(
            ResultCode.UNKNOWN_PATH,
            f'this installation has no demo: {error}',
        )
    finished: Outcome | Failure = await module.demo()
    return finished


COMMANDS: Final = (
    Command(
        'check',
        'Check a settings folder and list every problem.',
        'boragespool check examples/cooperative',
        _FOLDER_ARGUMENT,
        (),
        settings_commands.check,
    ),
    Command(
        'diff',
        'Compare a settings folder with the revision in the store.',
        'boragespool diff examples/cooperative --store 127.0.0.1:8500',
        _FOLDER_ARGUMENT,
        _STORE_FLAGS,
        settings_commands.diff,
    ),
    Command(
        'apply',
        'Apply a settings folder as a new revision.',
        'boragespool apply examples/cooperative --base 7 --wait '
        "--note 'more slots for lot-finder'",
        _FOLDER_ARGUMENT,
        (*_CHANGE_FLAGS, 'undrain'),
        change_commands.apply,
    ),
    Command(
        'show',
        'Show the revision in the store with its settings.',
        'boragespool show --output json',
        _NO_ARGUMENTS,
        _STORE_FLAGS,
        settings_commands.show,
    ),
    Command(
        'status',
        'Show the status of daemons.',
        'boragespool status --entry 127.0.0.1:8000,127.0.0.2:8000',
        _NO_ARGUMENTS,
        _DAEMON_FLAGS,
        daemon_commands.status,
    ),
    Command(
        'audit',
        'List the last changes, newest first.',
        'boragespool audit',
        _NO_ARGUMENTS,
        _STORE_FLAGS,
        settings_commands.audit,
    ),
    Command(
        'rollback',
        'Apply the settings of a replaced revision again.',
        "boragespool rollback 6 --note 'revision 7 was too slow'",
        {'REVISION': 'Number of a replaced revision.'},
        (*_CHANGE_FLAGS, 'undrain'),
        change_commands.rollback,
    ),
    Command(
        'drain',
        'Give no new work to the backend servers of a host.',
        'boragespool drain north-member-ledger --wait',
        _HOST_ARGUMENT,
        _CHANGE_FLAGS,
        change_commands.drain,
    ),
    Command(
        'undrain',
        'Give work to the backend servers of a host again.',
        'boragespool undrain north-member-ledger --wait',
        _HOST_ARGUMENT,
        _CHANGE_FLAGS,
        change_commands.drain,
    ),
    Command(
        'clear',
        'Unblock requests with a fingerprint that daemons have blocked.',
        'boragespool clear 0x9a3f6c21d0e47b58',
        {'FINGERPRINT': 'Fingerprint, as status shows it.'},
        _CHANGE_FLAGS,
        change_commands.clear,
    ),
    Command(
        'query',
        'Send one query and print the answer.',
        'boragespool query find-lots \'{"text": "pine"}\'',
        _REQUEST_ARGUMENTS,
        _REQUEST_FLAGS,
        daemon_commands.query,
    ),
    Command(
        'claim',
        'Send one claim, at most once, and print the answer.',
        'boragespool claim claim-lot \'{"lot": 17}\' --caller till-4',
        _REQUEST_ARGUMENTS,
        (*_REQUEST_FLAGS, 'ticket'),
        daemon_commands.claim,
    ),
    Command(
        'demo',
        'Start a small system on this machine and send requests to it.',
        'boragespool demo',
        _NO_ARGUMENTS,
        (),
        _run_demo,
    ),
)
