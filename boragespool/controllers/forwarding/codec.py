"""How requests and replies are written on the wire."""

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
    """Answer that was merged from the replies of several shards.

    Attributes
    ----------
    body : bytes
        Greatest records, greatest first.
    signatures : tuple of str
        Signatures of the replies that were merged.
    missing_count : int
        Shards without a reply.
    """

    body: bytes
    signatures: tuple[str, ...]
    missing_count: int


@dataclass(frozen=True, slots=True)
class AddressQuery:
    """Question of a caller for addresses."""

    region: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class MessageCodec:
    """Translations between messages of the product and those on the wire.

    Attributes
    ----------
    read_request, read_reply, read_address_query : callable
        Decode a request of a caller, a reply of a backend server and a
        question for addresses; a `Failure` says what is wrong.
    write_request : callable
        Encodes a request for one backend server with the time left.
    write_reply, write_merged_reply, write_failure : callable
        Encode a final answer to a caller.
    write_addresses : callable
        Encodes addresses and the time for which they may be kept.
    echo_header : str
        Header field in which a backend server repeats the request id.
    read_configuration, read_registration : callable
        Decode items of the store.
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
