"""Identity of forwarded requests, by which all daemons recognise them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.routing import fingerprint_of

if TYPE_CHECKING:
    from boragespool.forwarding.replies import ForwardRequest
    from boragespool.types import HeaderFields

#: Maximum number of parts of a request, which bounds the reports of losses.
#: Further header fields count as one part.
MAX_PART_COUNT: Final = 32
#: Name of the query among the parts; no header field has an empty name.
_QUERY: Final = ''


@dataclass(frozen=True, slots=True)
class RequestIdentity:
    """What a request has in common with its repeats; its id is left out.

    Attributes
    ----------
    fingerprint : int
        Hash of 64 bits of the method, domain, target, header fields and body.
        Requests with the same fingerprint are equal.
    base : int
        Hash of 64 bits of the method, domain, path and body. The query and
        the header fields may differ between repeats, and some of them tell
        callers apart.
    attributes : tuple of tuple of str
        Names and values of the query and of the header fields.
    """

    fingerprint: int
    base: int
    attributes: HeaderFields = ()

    @property
    def parts(self) -> frozenset[int]:
        """Hashes of 64 bits of the query and of each header field."""
        listed = self.attributes[: MAX_PART_COUNT - 1]
        rest = self.attributes[MAX_PART_COUNT - 1 :]
        texts = [f'{name}:{text}' for name, text in listed]
        if rest:
            texts.append('\n'.join(f'{name}:{text}' for name, text in rest))
        return frozenset(fingerprint_of(text, b'') for text in texts)


def request_identity(request: ForwardRequest, id_field: str) -> RequestIdentity:
    """Return the identity of a request.

    Parameters
    ----------
    request : ForwardRequest
        Request of a caller.
    id_field : str
        Name of the header field that differs in each attempt of a caller.
    """
    fields = tuple(entry for entry in request.fields if entry[0] != id_field)
    texts = (f'{name}:{text}' for name, text in fields)
    common = (request.method, request.domain)
    query = request.target[len(request.path) :]
    return RequestIdentity(
        fingerprint_of(
            '\n'.join((*common, request.target, *texts)), request.body
        ),
        fingerprint_of('\n'.join((*common, request.path)), request.body),
        ((_QUERY, query), *fields),
    )
