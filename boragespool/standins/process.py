"""Command line and life cycle that both stand-in programs share."""

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
    """Return a set of flags that other programs do not share."""
    untyped: Any = flags.FlagValues
    created: flags.FlagValues = untyped()
    return created


def parse_command_line(flag_values: flags.FlagValues) -> None:
    """Set flags from the environment and then from the command line.

    Parameters
    ----------
    flag_values : absl.flags.FlagValues
        Flags of one program; ``BORAGESPOOL_<FLAG>`` sets a default.

    Raises
    ------
    SystemExit
        With a message if a flag is unknown or invalid.
    """
    try:
        for name in flag_values:
            from_environment = os.environ.get(f'BORAGESPOOL_{name.upper()}')
            if from_environment is not None:
                flag_values[name].parse(from_environment)
                # A flag that may be repeated would extend the default.
                flag_values[name].present = 0
        flag_values(sys.argv)
    except flags.Error as error:
        sys.exit(f'{sys.argv[0]}: {error}')


def run_until_signal(serve: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    """Run a service until SIGTERM or SIGINT sets its event."""

    async def main() -> None:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await serve(stop)

    configure_logging('INFO')
    asyncio.run(main())
