"""Decodes JSON of callers, with checks that msgspec does not make."""

from __future__ import annotations

import json
from typing import Any

import msgspec

from boragespool.results import Failure, ResultCode


class _DuplicateKeyError(ValueError):
    """Raised if a JSON object has a key twice."""


def decode_object(raw: bytes) -> dict[str, Any] | Failure:
    """Decode one JSON object; refuse input that parsers interpret differently.

    Parameters
    ----------
    raw : bytes
        UTF-8 text.

    Returns
    -------
    dict or Failure
        ``DUPLICATE_KEY`` if an object at any depth has a key twice,
        ``MALFORMED_BODY`` if the text is not a JSON object (RFC 8259) or is
        nested too deeply.

    Notes
    -----
    msgspec keeps the last of two equal keys. The parser of a backend server
    could keep the first one and therefore run a different request.
    """
    try:
        # msgspec refuses input that the json module accepts, such as NaN.
        msgspec.json.decode(raw)
        decoded = json.loads(raw, object_pairs_hook=_unique_keys)
    except _DuplicateKeyError as duplicate:
        return Failure(ResultCode.DUPLICATE_KEY, str(duplicate))
    except RecursionError:
        return _malformed('its values are nested too deeply')
    except (msgspec.MsgspecError, ValueError) as error:
        return _malformed(str(error))
    if not isinstance(decoded, dict):
        return _malformed('it is a value of another type')
    return decoded


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members: dict[str, Any] = {}
    for key, member in pairs:
        if key in members:
            raise _DuplicateKeyError(f'the key {key!r} appears twice')
        members[key] = member
    return members


def _malformed(reason: str) -> Failure:
    return Failure(
        ResultCode.MALFORMED_BODY,
        f'the body is not a JSON object: {reason}',
    )
