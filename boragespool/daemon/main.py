"""Program ``boragespool-entry``, which runs one daemon."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING, Any, Final

import pynng
from absl import flags

from boragespool.daemon.entry import EntryDaemon
from boragespool.daemon.options import (
    ENVIRONMENT_PREFIX,
    EntryOptions,
    all_settings,
    parse_options,
)
from boragespool.daemon.shutdown import stop_gracefully
from boragespool.events import Event, configure_logging, log_event
from boragespool.results import Failure, ResultCode

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

EXIT_BAD_SETTING: Final = 2
EXIT_ADDRESS_UNUSABLE: Final = 3
EXIT_STOP_TIMED_OUT: Final = 4


def read_settings(
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> EntryOptions | Failure:
    """Read the settings from flags and environment variables.

    A flag takes precedence over the environment variable of the same setting.

    Parameters
    ----------
    arguments : sequence of str
        Command line, program name first.
    environment : mapping of str to str
        ``BORAGESPOOL_<FLAG>`` variables; other variables are ignored.

    Returns
    -------
    EntryOptions or Failure
        The failure names the first flag or setting that is invalid.
    """
    flag_values = _define_flags()
    try:
        positional = flag_values(arguments)[1:]
    except flags.Error as error:
        return Failure(ResultCode.UNKNOWN_SETTING, str(error))
    if positional:
        return Failure(
            ResultCode.UNKNOWN_SETTING,
            f'argument {positional[0]!r} is not a flag; --help lists the flags',
        )
    given: dict[str, str] = {}
    for name in all_settings():
        text = flag_values[name].value
        if text is None:
            text = environment.get(ENVIRONMENT_PREFIX + name.upper())
        if text is not None:
            given[name] = text
    return parse_options(given)


def _define_flags() -> flags.FlagValues:
    """Define a string flag for each setting, None by default."""
    untyped: Any = flags.FlagValues
    flag_values: flags.FlagValues = untyped()
    for name, setting in all_settings().items():
        allowed = setting.value_type.allowed
        flags.DEFINE_string(
            name,
            None,
            f'{setting.help_text} Allowed: {allowed}.',
            flag_values=flag_values,
        )
    return flag_values


async def serve(options: EntryOptions) -> int:
    """Run one daemon until SIGTERM or SIGINT; return the exit code.

    Signals that arrive during the graceful stop are ignored.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    entry = EntryDaemon(options)
    try:
        await entry.__aenter__()
    except (OSError, pynng.NNGException) as error:
        log_event(
            Event.ADDRESS_UNUSABLE,
            f'cannot listen on caller_address {options.caller_address!r} or '
            f'peer_address {options.peer_address!r}: {error}',
            level=logging.ERROR,
        )
        return EXIT_ADDRESS_UNUSABLE
    await stop_requested.wait()
    is_complete = await stop_gracefully(entry)
    return 0 if is_complete else EXIT_STOP_TIMED_OUT


def run() -> None:
    """Run the program and exit with its exit code."""
    if '--help' in sys.argv:
        sys.stdout.write(_define_flags().get_help())
        sys.exit(0)
    options = read_settings(sys.argv, os.environ)
    if isinstance(options, Failure):
        configure_logging('INFO')
        log_event(
            Event.SETTING_REJECTED,
            options.reason,
            level=logging.ERROR,
            code=int(options.code),
        )
        sys.exit(EXIT_BAD_SETTING)
    configure_logging(options.log_level)
    sys.exit(asyncio.run(serve(options)))


if __name__ == '__main__':
    run()
