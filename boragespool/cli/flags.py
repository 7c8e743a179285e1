"""Flags of the commands; each can be set by an environment variable."""

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

PREFIX: Final = 'BORAGESPOOL_'
_ADDRESS_FLAGS: Final = frozenset(('store', 'entry'))


@dataclass(frozen=True, slots=True)
class FlagSpec:
    """One flag.

    Attributes
    ----------
    define : callable
        ``absl.flags.DEFINE_...`` function.
    limits : mapping
        Further arguments of `define`.
    """

    define: Callable[..., Any]
    default: Any
    text: str
    limits: Mapping[str, Any]


def _are_addresses(given: str | list[str]) -> bool:
    """Check ``store`` and ``entry``."""
    addresses = [given] if isinstance(given, str) else given
    return all(map(is_address, addresses))


def _author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ''


def _spec(
    define: Callable[..., Any],
    default: Any,
    text: str,
    **limits: Any,
) -> FlagSpec:
    return FlagSpec(define, default, text, limits)


FLAGS: Final = MappingProxyType(
    {
        'output': _spec(
            flags.DEFINE_enum,
            'table',
            'Form of the output: json or table.',
            enum_values=['json', 'table'],
        ),
        'store': _spec(
            flags.DEFINE_string,
            '127.0.0.1:8500',
            'ip:port of the platform, which holds the configuration.',
        ),
        'timeout_s': _spec(
            flags.DEFINE_float,
            2,
            'Longest time for one call, in seconds.',
            lower_bound=0.01,
        ),
        'patience_s': _spec(
            flags.DEFINE_float,
            20,
            'Time after which a change that the store neither accepts nor '
            'refuses is given up, in seconds.',
            lower_bound=0,
        ),
        'entry': _spec(
            flags.DEFINE_list,
            ['127.0.0.1:8000'],
            'ip:port of one or more daemons, separated by commas.',
        ),
        'author': _spec(
            flags.DEFINE_string,
            _author(),
            'Name for the audit trail, at most 100 characters.',
        ),
        'note': _spec(
            flags.DEFINE_string,
            '',
            'Reason for the audit trail, at most 400 characters.',
        ),
        'base': _spec(
            flags.DEFINE_integer,
            None,
            'Revision that the change was prepared for; another one in '
            'force is a conflict.',
            lower_bound=0,
        ),
        'undrain': _spec(
            flags.DEFINE_boolean,
            default=False,
            text='Allow the change to put drained backend servers to work.',
        ),
        'wait': _spec(
            flags.DEFINE_boolean,
            default=False,
            text='Wait until every live daemon has the revision in force.',
        ),
        'wait_s': _spec(
            flags.DEFINE_float,
            15,
            'Longest wait of --wait, in seconds.',
            lower_bound=0,
        ),
        'caller': _spec(
            flags.DEFINE_string,
            'operator',
            'Name of the caller of the request.',
        ),
        'rank': _spec(
            flags.DEFINE_string,
            None,
            'Rank of the request; by default the rank of the route.',
        ),
        'deadline_ms': _spec(
            flags.DEFINE_float,
            None,
            'Time for the answer, in milliseconds; by default and at most '
            'the deadline of the route.',
            lower_bound=1,
        ),
        'ticket': _spec(
            flags.DEFINE_string,
            '',
            'Ticket of an earlier attempt, whose claim is not run again.',
        ),
    },
)


def define_flags(
    names: Iterable[str],
    environment: Mapping[str, str],
) -> flags.FlagValues:
    """Define flags and set those that the environment names.

    Parameters
    ----------
    names : iterable of str
        Keys of `FLAGS`.
    environment : mapping
        ``BORAGESPOOL_<FLAG>`` variables; the command line goes first.

    Returns
    -------
    absl.flags.FlagValues
        Flags of one command.

    Raises
    ------
    absl.flags.IllegalFlagValueError
        If a variable has a value that its flag refuses.
    """
    # absl has no complete annotations on these two.
    make_values: Callable[[], flags.FlagValues] = flags.FlagValues
    values = make_values()
    register: Callable[..., None] = flags.register_validator
    for name in names:
        spec = FLAGS[name]
        variable = f'{PREFIX}{name.upper()}'
        spec.define(
            name,
            default=spec.default,
            help=f'{spec.text} Environment: {variable}.',
            flag_values=values,
            **spec.limits,
        )
        # argparse_flags shows the flags of the main module only.
        values.register_key_flag_for_module(sys.argv[0], values[name])
        if name in _ADDRESS_FLAGS:
            register(
                name,
                _are_addresses,
                'allowed: ip:port with a numeric IP address',
                values,
            )
        given = environment.get(variable)
        if given is not None:
            values[name].parse(given)
            values[name].using_default_value = False
    return values
