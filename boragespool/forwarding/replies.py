"""Forwarded requests, replies of backend servers and their classification."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import HeaderFields, RequestId, Seconds

_MIN_SUCCESS_STATUS: Final = 200
_MIN_REDIRECT_STATUS: Final = 300


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Request of a caller in the form in which it is forwarded.

    Attributes
    ----------
    domain : str
        Value of the ``Host`` header.
    target : str
        Path and query string, unchanged.
    path : str
        Path without the query string.
    fields : tuple of tuple of str
        Header fields that are forwarded, as pairs of a lower case name and a
        value.
    request_id : str or None
        Identifier that the caller set; None if there is none. A caller that
        sends a request again may set another one.
    timeout_s : float or None
        Time for which the caller waits for the response, in seconds; None if
        the request does not state it.
    """

    domain: str
    method: str
    target: str
    path: str
    body: bytes
    fields: HeaderFields
    request_id: RequestId | None
    timeout_s: Seconds | None


@dataclass(frozen=True, slots=True)
class Reply:
    """Complete response of a backend server.

    Attributes
    ----------
    fields : tuple of tuple of str
        Header fields, as pairs of a lower case name and a value.
    signature : str or None
        Proof that a backend server answered this request; None if missing.
    not_run : bool
        Whether the backend server states that it did not run the request.
    is_other_server : bool
        Whether a different backend server has taken over the address.
    is_encoded : bool
        Whether an intermediary has applied a content encoding to the body.
    rate_limit_per_s : float or None
        Requests a second that the backend server takes from all daemons
        together; None if it names no limit.
    """

    status: int
    body: bytes
    fields: HeaderFields
    signature: str | None
    not_run: bool
    is_other_server: bool = False
    is_encoded: bool = False
    rate_limit_per_s: float | None = None


class Verdict(enum.Enum):
    """Classification of a reply."""

    SUCCESS = 'success'
    #: No backend server ran the request.
    NOT_RUN = 'not_run'
    #: The backend server ran the request and returned an error.
    ERROR = 'error'
    #: The reply is not proven to come from the backend server unchanged; the
    #: request may have run.
    UNUSABLE = 'unusable'


def classify_reply(reply: Reply) -> Verdict:
    """Classify a reply by whether the request ran and whether it succeeded."""
    if reply.not_run or reply.is_other_server:
        return Verdict.NOT_RUN
    if reply.signature is None or reply.is_encoded:
        return Verdict.UNUSABLE
    if _MIN_SUCCESS_STATUS <= reply.status < _MIN_REDIRECT_STATUS:
        return Verdict.SUCCESS
    return Verdict.ERROR
