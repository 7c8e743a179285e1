"""Command ``boragespool-standin-platform``: runs the platform stand-in."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Final

import msgspec
from absl import flags

from boragespool.events import Event, log_event
from boragespool.standins.platform import Platform
from boragespool.standins.process import (
    new_flag_values,
    parse_command_line,
    run_until_signal,
)
from boragespool.store import HostEntry

if TYPE_CHECKING:
    import asyncio

_FLAGS: Final = new_flag_values()
_ADDRESS: Final = flags.DEFINE_string(
    'address',
    '127.0.0.1:0',
    'ip:port to listen on; port 0 selects a free port.',
    flag_values=_FLAGS,
)
_HOSTS: Final = flags.DEFINE_string(
    'hosts',
    '[]',
    'Host list as JSON: [{host, state, data_centre, address}].',
    flag_values=_FLAGS,
)
_HOSTS_LAG_S: Final = flags.DEFINE_float(
    'hosts_lag_s',
    0,
    'Delay before clients get a changed host list, in seconds.',
    lower_bound=0,
    flag_values=_FLAGS,
)


async def _serve(stop: asyncio.Event) -> None:
    try:
        hosts = msgspec.json.decode(_HOSTS.value, type=tuple[HostEntry, ...])
    except msgspec.MsgspecError as error:
        sys.exit(f'--hosts is not a host list: {error}')
    async with Platform(_ADDRESS.value, hosts) as platform:
        platform.control({'hosts_lag_s': _HOSTS_LAG_S.value})
        log_event(
            Event.PROCESS_READY,
            f'platform stand-in is listening on {platform.address}',
            address=platform.address,
        )
        await stop.wait()


def run() -> None:
    """Run the stand-in until SIGTERM or SIGINT."""
    parse_command_line(_FLAGS)
    run_until_signal(_serve)


if __name__ == '__main__':
    run()
