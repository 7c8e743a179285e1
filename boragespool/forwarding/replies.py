"""Requests, replies of backend servers and what a reply means."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import HeaderFields, RequestId, Seconds

_FIRST_SUCCESS: Final = 200
_FIRST_REDIRECT: Final = 300


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Request of a caller as it is passed on.

    Attributes
    ----------
    target : str
        Path and query string, unchanged.
    fields : tuple of tuple of str
        Header fields that are passed on, names in lower case.
    request_id : str or None
        Name of this attempt of the caller.
    timeout_s : float or None
        Time for which the caller waits, in seconds; None if it does not say.
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
    signature : str or None
        Proof that a backend server answered this request.
    not_run : bool
        Whether the backend server says that it did not run the request.
    is_other_server : bool
        Whether another backend server has taken over the address.
    is_encoded : bool
        Whether something on the way has encoded the body.
    """

    status: int
    body: bytes
    fields: HeaderFields
    signature: str | None
    not_run: bool
    is_other_server: bool = False
    is_encoded: bool = False


class Verdict(enum.Enum):
    """What a reply means for the request."""

    SUCCESS = 'success'
    NOT_RUN = 'not_run'
    #: The backend server ran the request and answers with an error.
    ERROR = 'error'
    #: The reply proves nothing; the request may have run.
    UNUSABLE = 'unusable'


def classify_reply(reply: Reply) -> Verdict:
    """Return what a reply means."""
    if reply.not_run or reply.is_other_server:
        return Verdict.NOT_RUN
    if reply.signature is None or reply.is_encoded:
        return Verdict.UNUSABLE
    if _FIRST_SUCCESS <= reply.status < _FIRST_REDIRECT:
        return Verdict.SUCCESS
    return Verdict.ERROR
