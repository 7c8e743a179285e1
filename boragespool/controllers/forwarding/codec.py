"""Interface to the message formats of a platform.

The forwarding controllers use message types that are independent of the
platform; a codec translates them to and from its HTTP messages and decodes
its store items.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from boragespool.forwarding import (
        ForwardConfiguration,
        ForwardRequest,
        Registration,
        Reply,
    )
    from boragespool.http import HttpRequest, HttpResponse
    from boragespool.item_store import Item
    from boragespool.results import Failure
    from boragespool.types import Address, Seconds, ServerName


@dataclass(frozen=True, slots=True)
class MergedReply:
    """Reply that was merged from the replies of several shards.

    Attributes
    ----------
    body : bytes
        Greatest records of all replies, in descending order.
    signatures : tuple of str
        Signatures of the merged replies.
    missing_count : int
        Number of shards without a successful reply.
    """

    body: bytes
    signatures: tuple[str, ...]
    missing_count: int


@dataclass(frozen=True, slots=True)
class AddressQuery:
    """Query of a caller for addresses of daemons near a location."""

    region: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class MessageCodec:
    """Functions that encode and decode the messages of a platform.

    Attributes
    ----------
    read_request, read_reply, read_address_query : callable
        Decode a request of a caller, a reply of a backend server and a query
        for addresses; a returned `Failure` describes what is invalid.
    write_request : callable
        Encode a request for one backend server, with the time left until the
        deadline of the caller, in seconds.
    write_reply, write_merged_reply, write_failure : callable
        Encode a final response to a caller.
    write_addresses : callable
        Encode addresses and the time for which callers may cache them, in
        seconds.
    echo_header : str
        Name of the header field in which a backend server repeats the request
        id.
    read_configuration, read_registration : callable
        Decode items of the store; a returned `Failure` describes what is
        invalid.
    """

    read_request: Callable[[HttpRequest], ForwardRequest | Failure]
    write_request: Callable[[ForwardRequest, ServerName, Seconds], HttpRequest]
    read_reply: Callable[[HttpResponse], Reply]
    write_reply: Callable[[Reply], HttpResponse]
    write_merged_reply: Callable[[MergedReply], HttpResponse]
    write_failure: Callable[[Failure], HttpResponse]
    read_address_query: Callable[[HttpRequest], AddressQuery | Failure]
    write_addresses: Callable[[tuple[Address, ...], Seconds], HttpResponse]
    echo_header: str
    read_configuration: Callable[[Item], ForwardConfiguration | Failure]
    read_registration: Callable[[Item], Registration | Failure]
