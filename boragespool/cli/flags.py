"""Flags of the commands.

Each flag can also be set by an environment variable.
"""

from __future__ import annotations

import getpass
import sys
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from absl import flags

from boragespool.settings.rules import is_address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

ENVIRONMENT_PREFIX: Final = 'BORAGESPOOL_'
_ADDRESS_FLAGS: Final = frozenset(('store', 'entry'))


@dataclass(frozen=True, slots=True)
class FlagSpec:
    """Definition of a flag.

    Attributes
    ----------
    define : callable
        ``absl.flags.DEFINE_...`` function of its type.
    default : Any
        Default value.
    help_text : str
        Description for ``--help``.
    limits : mapping
        Further keyword arguments of `define`.
    """

    define: Callable[..., Any]
    default: Any
    help_text: str
    define_arguments: Mapping[str, Any]


def _all_addresses_valid(flag_value: str | list[str]) -> bool:
    """Return whether a flag value holds valid addresses only."""
    addresses = [flag_value] if isinstance(flag_value, str) else flag_value
    return all(map(is_address, addresses))


def _default_author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ''


def _flag_spec(
    define: Callable[..., Any],
    default: Any,
    help_text: str,
    **define_arguments: Any,
) -> FlagSpec:
    return FlagSpec(define, default, help_text, define_arguments)


FLAGS: Final = MappingProxyType(
    {
        'output': _flag_spec(
            flags.DEFINE_enum,
            'table',
            'Output format: json or table.',
            enum_values=['json', 'table'],
        ),
        'store': _flag_spec(
            flags.DEFINE_string,
            '127.0.0.1:8500',
            'ip:port of the platform, which holds the configuration.',
        ),
        'timeout_s': _flag_spec(
            flags.DEFINE_float,
            2,
            'Timeout of one request to the store or a daemon, in seconds.',
            lower_bound=0.01,
        ),
        'patience_s': _flag_spec(
            flags.DEFINE_float,
            20,
            'Time after which a change that the store neither accepts nor '
            'refuses is given up, in seconds.',
            lower_bound=0,
        ),
        'entry': _flag_spec(
            flags.DEFINE_list,
            ['127.0.0.1:8000'],
            'ip:port of one or more daemons, separated by commas.',
        ),
        'author': _flag_spec(
            flags.DEFINE_string,
            _default_author(),
            'Name of the author in the audit trail, at most 100 characters.',
        ),
        'note': _flag_spec(
            flags.DEFINE_string,
            '',
            'Reason of the change in the audit trail, at most 400 characters.',
        ),
        'base': _flag_spec(
            flags.DEFINE_integer,
            None,
            'Revision on which the change is based; if the store holds '
            'another one, the change is refused as a conflict.',
            lower_bound=0,
        ),
        'undrain': _flag_spec(
            flags.DEFINE_boolean,
            default=False,
            help_text='Allow the change to end the drain of backend servers.',
        ),
        'wait': _flag_spec(
            flags.DEFINE_boolean,
            default=False,
            help_text='Wait until every live daemon has the revision in force.',
        ),
        'wait_s': _flag_spec(
            flags.DEFINE_float,
            15,
            'Longest wait of --wait, in seconds.',
            lower_bound=0,
        ),
        'caller': _flag_spec(
            flags.DEFINE_string,
            'operator',
            'Name of the caller of the request.',
        ),
        'rank': _flag_spec(
            flags.DEFINE_string,
            None,
            'Rank of the request; by default the rank of the route.',
        ),
        'deadline_ms': _flag_spec(
            flags.DEFINE_float,
            None,
            'Time for the answer, in milliseconds; by default and at most '
            'the deadline of the route.',
            lower_bound=1,
        ),
        'ticket': _flag_spec(
            flags.DEFINE_string,
            '',
            'Ticket of an earlier attempt at the same claim; the claim does '
            'not run again if it ran then.',
        ),
    },
)


def define_flags(
    names: Iterable[str],
    environment: Mapping[str, str],
) -> flags.FlagValues:
    """Define flags and set them from environment variables.

    Parameters
    ----------
    names : iterable of str
        Keys of `FLAGS`.
    environment : mapping
        ``BORAGESPOOL_<FLAG>`` variables; the command line overrides them.

    Returns
    -------
    absl.flags.FlagValues
        Flags of one command.

    Raises
    ------
    absl.flags.IllegalFlagValueError
        If the value of a variable is not allowed for its flag.
    """
    # absl annotates these two incompletely.
    make_values: Callable[[], flags.FlagValues] = flags.FlagValues
    values = make_values()
    register: Callable[..., None] = flags.register_validator
    for name in names:
        spec = FLAGS[name]
        variable = f'{ENVIRONMENT_PREFIX}{name.upper()}'
        spec.define(
            name,
            default=spec.default,
            help=f'{spec.help_text} Environment: {variable}.',
            flag_values=values,
            **spec.define_arguments,
        )
        # argparse_flags shows the flags of the main module only.
        values.register_key_flag_for_module(sys.argv[0], values[name])
        if name in _ADDRESS_FLAGS:
            register(
                name,
                _all_addresses_valid,
                'allowed: ip:port with a numeric IP address',
                values,
            )
        env_value = environment.get(variable)
        if env_value is not None:
            values[name].parse(env_value)
            values[name].using_default_value = False
    return values
