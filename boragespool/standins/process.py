"""Command line and signal handling shared by both stand-in programs."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import TYPE_CHECKING, Any

from absl import flags

from boragespool.events import configure_logging

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def new_flag_values() -> flags.FlagValues:
    """Return an empty flag registry, separate from the global one of absl."""
    constructor: Any = flags.FlagValues
    flag_values: flags.FlagValues = constructor()
    return flag_values


def parse_command_line(flag_values: flags.FlagValues) -> None:
    """Set flags from the environment, then from the command line.

    Parameters
    ----------
    flag_values : absl.flags.FlagValues
        Flags of one program. The environment variable
        ``BORAGESPOOL_<FLAG>`` replaces the default of a flag.

    Raises
    ------
    SystemExit
        With a message if a flag is unknown or invalid.
    """
    try:
        for name in flag_values:
            environment_value = os.environ.get(f'BORAGESPOOL_{name.upper()}')
            if environment_value is not None:
                flag_values[name].parse(environment_value)
                # Otherwise the command line would extend the value of a
                # repeatable flag instead of replacing it.
                flag_values[name].present = 0
        flag_values(sys.argv)
    except flags.Error as error:
        sys.exit(f'{sys.argv[0]}: {error}')


def run_until_signal(serve: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    """Configure logging and run a program until it returns.

    Parameters
    ----------
    serve : callable
        Coroutine function of the program. SIGTERM and SIGINT set the event
        that it gets, and it should then return.
    """

    async def main() -> None:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop.set)
        await serve(stop)

    configure_logging('INFO')
    asyncio.run(main())
