"""Requests and responses as the rest of the program sees them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import SplitResult, parse_qs, urlsplit

import msgspec

from boragespool.results import Failure, http_status

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.types import HeaderFields

_JSON_TYPE: Final = 'application/json'
_ENCODER: Final = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One complete request; header names are lower case.

    Attributes
    ----------
    waited_s : float
        Time between its first bytes and its turn to be read, in seconds.
    deferred : bool
        Whether it waited because its connection was deferred.
    fields : tuple of tuple of str
        All header fields in order, names in lower case; `headers` holds the
        last value of each.
    """

    method: str
    target: str
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)
    peer_ip: str = ''
    waited_s: float = 0
    deferred: bool = False
    fields: HeaderFields = ()

    @property
    def path(self) -> str:
        """Path without the query string."""
        return _split(self.target).path

    @property
    def query(self) -> Mapping[str, str]:
        """Last value of each query string parameter."""
        parsed = parse_qs(_split(self.target).query)
        return {name: given[-1] for name, given in parsed.items()}


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One complete response.

    Attributes
    ----------
    defer_next : bool
        Whether other connections go before the next request on this one.
    fields : tuple of tuple of str
        Further header fields, names in lower case. They may contain a
        ``content-type``, which then replaces `content_type`.
    """

    status: int
    body: bytes = b''
    content_type: str = _JSON_TYPE
    close: bool = False
    defer_next: bool = False
    fields: HeaderFields = ()

    def field(self, name: str) -> str | None:
        """Return the first value of a header field, None without it.

        Parameters
        ----------
        name : str
            Name in lower case.
        """
        for known, text in self.fields:
            if known == name:
                return text
        return None


def _split(target: str) -> SplitResult:
    """Split a target; one that is not a URL, such as ``//[``, has no path."""
    try:
        return urlsplit(target)
    except ValueError:
        return SplitResult('', '', '', '', '')


def json_response(body: Any, status: int = 200) -> HttpResponse:
    """Encode a body that msgspec can encode as JSON."""
    return HttpResponse(status, _ENCODER.encode(body))


def failure_response(failure: Failure) -> HttpResponse:
    """Encode a refusal with its code, reason and run state."""
    body = {
        'code': int(failure.code),
        'name': failure.code.name.lower(),
        'reason': failure.reason,
        'run': failure.run,
        'retry_after_s': failure.retry_after_s,
    }
    return json_response(body, http_status(failure.code))
