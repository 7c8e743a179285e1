"""Command ``boragespool-standin-backend``: runs backend server stand-ins."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, Final

import msgspec
from absl import flags

from boragespool.events import Event, log_event
from boragespool.results import Failure
from boragespool.standins.backend import BackendSpec
from boragespool.standins.backend_flags import parse_servers
from boragespool.standins.backend_server_group import BackendServerGroup
from boragespool.standins.process import (
    new_flag_values,
    parse_command_line,
    run_until_signal,
)
from boragespool.standins.switches import (
    WHOLE_KEY_SPACE,
    BackendSwitches,
    with_changes,
)

if TYPE_CHECKING:
    import asyncio

_MS_PER_S: Final = 1_000
_FLAGS: Final = new_flag_values()

flags.DEFINE_multi_string(
    'servers',
    [],
    'name=service@ip:port[/shard], repeated, or one JSON list of objects '
    '{name, service, address, shard, shards, connections, seed, switches}.',
    flag_values=_FLAGS,
)
flags.DEFINE_string(
    'control',
    '127.0.0.1:0',
    'ip:port of GET and POST /v1/control for all servers of this process.',
    flag_values=_FLAGS,
)
flags.DEFINE_integer(
    'shards',
    1,
    'Number of equal shards of the key space; server i of a service holds '
    'shard i modulo this number.',
    lower_bound=1,
    flag_values=_FLAGS,
)
flags.DEFINE_integer(
    'slots',
    5,
    'Number of requests that one server runs at the same time.',
    flag_values=_FLAGS,
)
flags.DEFINE_integer(
    'connections',
    40,
    'Maximum number of connections that one server accepts.',
    flag_values=_FLAGS,
)
flags.DEFINE_float(
    'connection_cost_ms',
    0,
    'Extra delay of the first request of a connection, in milliseconds.',
    flag_values=_FLAGS,
)
flags.DEFINE_float(
    'service_time_ms',
    5,
    'Time to run one request, in milliseconds.',
    flag_values=_FLAGS,
)
flags.DEFINE_multi_integer(
    'version',
    [1],
    'Index version that each server holds at the start; may be repeated.',
    flag_values=_FLAGS,
)
flags.DEFINE_integer(
    'seed',
    0,
    'Seed of the random choice of stragglers.',
    flag_values=_FLAGS,
)
flags.DEFINE_string(
    'switches',
    '{}',
    'Other test switches of all servers, as JSON; see BackendSwitches.',
    flag_values=_FLAGS,
)


def _template() -> BackendSpec | Failure:
    """Return the defaults that the flags set for all servers."""
    changes: dict[str, Any] = {
        'slots': _FLAGS.slots,
        'connection_cost_s': _FLAGS.connection_cost_ms / _MS_PER_S,
        'service_time_s': _FLAGS.service_time_ms / _MS_PER_S,
        'holdings': dict.fromkeys(_FLAGS.version, WHOLE_KEY_SPACE),
    }
    changes |= msgspec.json.decode(_FLAGS.switches, type=dict[str, Any])
    switches = with_changes(BackendSwitches(), changes)
    if isinstance(switches, Failure):
        return switches
    return BackendSpec(
        '',
        '',
        connections=_FLAGS.connections,
        seed=_FLAGS.seed,
        switches=switches,
    )


async def _serve(stop: asyncio.Event) -> None:
    template = _template()
    specs = (
        template
        if isinstance(template, Failure)
        else parse_servers(_FLAGS.servers, template, _FLAGS.shards)
    )
    if isinstance(specs, Failure):
        sys.exit(specs.reason)
    async with BackendServerGroup(specs, _FLAGS.control) as group:
        log_event(
            Event.PROCESS_READY,
            f'{len(specs)} backend server stand-ins are listening',
            address=group.control_address,
            servers={
                name: server.address
                for name, server in group.servers_by_name.items()
            },
        )
        await stop.wait()


def run() -> None:
    """Run the stand-ins until SIGTERM or SIGINT."""
    parse_command_line(_FLAGS)
    run_until_signal(_serve)


if __name__ == '__main__':
    run()
