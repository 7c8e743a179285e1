"""HTTP requests and responses, independent of the transport."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import SplitResult, parse_qs, urlsplit

import msgspec

from boragespool.results import Failure, http_status

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from boragespool.types import HeaderFields

_JSON_TYPE: Final = 'application/json'
_ENCODER: Final = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One complete request.

    Attributes
    ----------
    target : str
        Path and query string as sent.
    headers : mapping of str to str
        Last value of each header field by name in lower case.
    peer_ip : str
        IP address of the peer; empty if unknown.
    waited_s : float
        Time between the arrival of its first bytes and the start of reading
        it, in seconds.
    deferred : bool
        Whether its connection was deferred because the request before it was
        refused for overload.
    fields : tuple of tuple of str
        All header fields in order, with names in lower case. Each character
        of a value stands for one byte, as in `HttpResponse`.
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
        """Path of the target without the query string."""
        return _split(self.target).path

    @property
    def query(self) -> Mapping[str, str]:
        """Last value of each query string parameter."""
        parsed = parse_qs(_split(self.target).query)
        return {name: values[-1] for name, values in parsed.items()}


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One complete response.

    Attributes
    ----------
    close : bool
        Whether the server closes the connection after the response.
    defer_next : bool
        Whether other connections are served before the next request on this
        connection.
    fields : tuple of tuple of str
        Further header fields, with names in lower case. A ``content-type``
        among them replaces `content_type`.
    """

    status: int
    body: bytes = b''
    content_type: str = _JSON_TYPE
    close: bool = False
    defer_next: bool = False
    fields: HeaderFields = ()

    def field(self, name: str) -> str | None:
        """Return the first value of a header field, or None if it is missing.

        Parameters
        ----------
        name : str
            Name in lower case.
        """
        for field_name, value in self.fields:
            if field_name == name:
                return value
        return None


def read_fields(raw_fields: Iterable[tuple[bytes, bytes]]) -> HeaderFields:
    """Decode header fields as text of one character for each byte.

    A value may hold any byte above 127 (obs-text, RFC 9110, section 5.5).
    """
    return tuple(
        (name.decode('ascii'), value.decode('latin-1'))
        for name, value in raw_fields
    )


def encode_fields(
    fields: Iterable[tuple[str, str]],
) -> list[tuple[bytes, bytes]]:
    """Encode header fields as the bytes that `read_fields` decoded."""
    return [
        (name.encode('ascii'), value.encode('latin-1'))
        for name, value in fields
    ]


def _split(target: str) -> SplitResult:
    """Split a target. An invalid one, such as ``//[``, has an empty path."""
    try:
        return urlsplit(target)
    except ValueError:
        return SplitResult('', '', '', '', '')


def json_response(body: Any, status: int = 200) -> HttpResponse:
    """Return a response with a body that msgspec encodes as JSON."""
    return HttpResponse(status, _ENCODER.encode(body))


def failure_response(failure: Failure) -> HttpResponse:
    """Return the JSON response for a failure, with its code and reason."""
    body = {
        'code': int(failure.code),
        'name': failure.code.name.lower(),
        'reason': failure.reason,
        'run': failure.run,
        'retry_after_s': failure.retry_after_s,
    }
    return json_response(body, http_status(failure.code))
