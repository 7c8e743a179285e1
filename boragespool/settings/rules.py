"""Allowed values and units of all settings."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from boragespool.settings.schema import (
    AddressSettings,
    ClaimSettings,
    HedgingSettings,
    RankSettings,
    RouteSettings,
    ServerSettings,
    ServiceSettings,
    Settings,
)
from boragespool.types import Rank, WorkKind

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


@dataclass(frozen=True, slots=True)
class Rule:
    """Allowed values of one option.

    Attributes
    ----------
    accepts : callable
        Returns whether a value of the right type is allowed. For a table of
        named entries it is called with the name of each entry.
    allowed : str
        Description of the allowed values for error messages.
    unit : str
        Unit of the value; empty if it has none.
    """

    accepts: Callable[[Any], bool]
    allowed: str
    unit: str = ''


_NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9_-]{0,62}')
_HOST_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,252}')
_PORT_COUNT: Final = 65_536
_MILLISECONDS: Final = 'ms'
_SECONDS: Final = 's'
_DAY_S: Final = 86_400


def _is_name(value: str) -> bool:
    return _NAME_PATTERN.fullmatch(value) is not None


def _is_optional_name(value: str) -> bool:
    return not value or _is_name(value)


def _is_host(value: str) -> bool:
    return not value or _HOST_PATTERN.fullmatch(value) is not None


def is_address(value: str) -> bool:
    """Return whether a string is ``ip:port`` with a numeric IP address.

    Parameters
    ----------
    value : str
        String such as ``'127.0.0.1:9000'`` or ``'[::1]:9000'``.

    Returns
    -------
    bool
        False for host names and for port 0.
    """
    ip, _, port = value.rpartition(':')
    if not re.fullmatch('[1-9][0-9]{0,4}', port):
        return False
    if ip.startswith('[') and ip.endswith(']'):
        ip = ip[1:-1]
    elif ':' in ip:
        return False
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        return False
    return int(port) < _PORT_COUNT


def _between(low: float, high: float, unit: str = '') -> Rule:
    """Return a rule for a closed interval; it rejects NaN."""
    return Rule(
        lambda number: low <= number <= high,
        f'{low:,} to {high:,}',
        unit,
    )


def _above_zero(high: float, unit: str = '') -> Rule:
    return Rule(
        lambda number: 0 < number <= high,
        f'more than 0, up to {high:,}',
        unit,
    )


def _one_of(enum_type: type[Rank | WorkKind]) -> Rule:
    names = ', '.join(repr(str(member)) for member in enum_type)
    return Rule(lambda value: value in set(enum_type), f'one of {names}')


def _entry_names(table: str) -> Rule:
    return Rule(_is_name, f'{table} with {_NAME_RULE.allowed}')


_NAME_RULE: Final = Rule(
    _is_name,
    'a name of 1 to 63 of the characters A-Z, a-z, 0-9, - and _, '
    'the first a letter or digit',
)
_BOOLEAN: Final = Rule(
    lambda value: isinstance(value, bool),
    'true or false',
)
_ANY_TABLE: Final = Rule(lambda _: True, 'a table')

#: Rules by data class and field name. A test checks that each field has one.
RULES: Final[Mapping[type, Mapping[str, Rule]]] = MappingProxyType(
    {
        ServerSettings: {
            'address': Rule(
                is_address,
                'ip:port with a numeric IP address and a port of 1 to 65535',
            ),
            'data_centre': _NAME_RULE,
            'region': Rule(
                _is_optional_name,
                f'empty, or {_NAME_RULE.allowed}',
            ),
            'host': Rule(
                _is_host,
                'empty, or a host name of 1 to 253 of the characters A-Z, '
                'a-z, 0-9, ., - and _',
            ),
            'drained': _BOOLEAN,
        },
        ServiceSettings: {
            'slots': _between(1, 10_000, 'requests'),
            'connections': _between(1, 100_000, 'connections'),
            'servers': _entry_names('a table of backend servers'),
            'connection_cost_ms': _between(0, 60_000, _MILLISECONDS),
        },
        RouteSettings: {
            'service': _NAME_RULE,
            'rank': _one_of(Rank),
            'form': _one_of(WorkKind),
            'deadline_ms': _above_zero(600_000, _MILLISECONDS),
            'canary': _BOOLEAN,
            'cancellable': _BOOLEAN,
        },
        RankSettings: {
            'floor': _between(0, 1, 'share of the slots'),
            'cap': _above_zero(1, 'share of the slots'),
            'queue_limit': _between(1, 1_000_000, 'requests'),
        },
        HedgingSettings: {
            'quantile': Rule(
                lambda number: 0 < number < 1,
                'more than 0, less than 1',
                'share of replies',
            ),
            # Hedging may raise the load to at most 1.10 requests per shard.
            'budget_ratio': _between(0, 0.1, 'attempts per first attempt'),
            'burst': _between(0, 10_000, 'attempts'),
        },
        ClaimSettings: {
            'ticket_validity_s': _above_zero(_DAY_S, _SECONDS),
            'record_age_s': _above_zero(7 * _DAY_S, _SECONDS),
            'record_count': _between(1, 10_000_000, 'records'),
            'witness_timeout_s': _above_zero(60, _SECONDS),
        },
        AddressSettings: {
            'keep_s': _above_zero(3_600, _SECONDS),
            'count': _between(1, 64, 'addresses'),
        },
        Settings: {
            'services': _entry_names('a table of services'),
            'routes': _entry_names('a table of routes'),
            'ranks': _one_of(Rank),
            'hedging': _ANY_TABLE,
            'claims': _ANY_TABLE,
            'addresses': _ANY_TABLE,
        },
    }
)
