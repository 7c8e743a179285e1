"""Decoding of values that other writers may have left in the store.

One value that cannot be used must not affect the others, whatever it holds.
"""

from __future__ import annotations

import re
from typing import Final, TypeVar

import msgspec

_ValueT = TypeVar('_ValueT')

#: Maximum size of a value that describes one server or daemon, in bytes.
MAX_VALUE_BYTES: Final = 65_536
#: Names are sent in header fields and written to logs; the keys of the store
#: have at most 200 bytes.
_NAME_PATTERN: Final = re.compile('[!-~]{1,200}')
_MAX_REASON_LENGTH: Final = 200


def decode_json(
    encoded: bytes,
    value_type: type[_ValueT],
    max_bytes: int = MAX_VALUE_BYTES,
) -> _ValueT | str:
    """Decode JSON into a type that is not `str`.

    Returns
    -------
    object or str
        The reason as text, of bounded length, if it cannot be decoded.
    """
    if len(encoded) > max_bytes:
        return f'{len(encoded)} bytes exceed {max_bytes}'
    try:
        return msgspec.json.decode(encoded, type=value_type)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        return shorten(str(error))


def is_name(text: str) -> bool:
    """Whether a text can be the name of a server, a daemon or a service."""
    return _NAME_PATTERN.fullmatch(text) is not None


def shorten(text: str) -> str:
    """Return the beginning of a text that may be of any length."""
    if len(text) <= _MAX_REASON_LENGTH:
        return text
    beginning = text[:_MAX_REASON_LENGTH]
    return f'{beginning}...'
