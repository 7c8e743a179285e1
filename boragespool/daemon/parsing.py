"""Parsers of the process settings; each returns None for an invalid value."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from boragespool.addresses import parse_ip

if TYPE_CHECKING:
    from collections.abc import Callable

_NAME_PATTERN: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_LOG_LEVELS: Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


@dataclass(frozen=True, slots=True)
class ValueType:
    """Type of the value of a setting.

    Attributes
    ----------
    allowed : str
        Description of the allowed values, for error messages and the help.
    parse : callable
        Converts the text of a setting to its value; returns None if the text
        is not allowed.
    """

    allowed: str
    parse: Callable[[str], Any]


@dataclass(frozen=True, slots=True)
class Setting:
    """Definition of a setting and its flag.

    Attributes
    ----------
    default : str or None
        Text used if neither the flag nor the environment variable is set;
        None if the setting is required.
    """

    value_type: ValueType
    default: str | None
    help_text: str


def parse_name(text: str) -> str | None:
    """Return the text if it is a valid name.

    The length of names is limited because they are part of member records,
    whose size must stay bounded.
    """
    return text if _NAME_PATTERN.fullmatch(text) else None


def parse_address(text: str) -> str | None:
    """Return the text if it is a valid ``ip:port`` of one host."""
    ip = parse_ip(text)
    if ip is None or ip.is_unspecified or ip.is_multicast:
        return None
    return text


def parse_peers(text: str) -> tuple[tuple[str, str], ...] | None:
    """Parse a list ``host=ip:port,...`` into (host, address) pairs."""
    pairs = []
    for part in filter(None, text.split(',')):
        host, _, address = part.strip().partition('=')
        if parse_name(host) is None or parse_address(address) is None:
            return None
        pairs.append((host, address))
    return tuple(pairs)


def parse_level(text: str) -> str | None:
    """Return the name of a log level in upper case."""
    return text.upper() if text.upper() in _LOG_LEVELS else None


def number(low: float, high: float) -> ValueType:
    """Return a value type for finite numbers in ``[low, high]``."""

    def parse(text: str) -> float | None:
        try:
            parsed = float(text)
        except ValueError:
            return None
        is_allowed = math.isfinite(parsed) and low <= parsed <= high
        return parsed if is_allowed else None

    return ValueType(f'a number from {low} to {high}', parse)


def integer(low: int, high: int) -> ValueType:
    """Return a value type for integers in ``[low, high]``."""

    def parse(text: str) -> int | None:
        try:
            parsed = int(text)
        except ValueError:
            return None
        return parsed if low <= parsed <= high else None

    return ValueType(f'an integer from {low} to {high}', parse)


NAME: Final = ValueType(
    '1 to 64 letters, digits, dots, hyphens or underscores, '
    'a letter or digit first',
    parse_name,
)
ADDRESS: Final = ValueType(
    'a numeric IPv4 address of this network and a port from 1 to 65535, '
    'as in 10.0.0.1:7000',
    parse_address,
)
PEERS: Final = ValueType(
    'a list as in host-a=10.0.0.1:7001,host-b=...', parse_peers
)
LEVEL: Final = ValueType(f'one of {_LOG_LEVELS}', parse_level)
