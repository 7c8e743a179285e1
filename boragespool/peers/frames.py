"""Encoding of messages between daemons as MessagePack frames.

Unknown fields are ignored and messages of an unknown kind are rejected one by
one, so that two releases can run side by side. A frame of another version is
rejected as a whole, with a result code.
"""

from __future__ import annotations

from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

import msgspec

from boragespool import messages
from boragespool.results import Failure, ResultCode
from boragespool.types import Address, HostName, Incarnation, RunState

FRAME_VERSION: Final = 1


@dataclass(frozen=True, slots=True)
class Refusal:
    """Reply in place of a result: the request was refused or failed."""

    code: int
    reason: str
    run: RunState = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class Probe:
    """Request for a `ProbeAnswer`, which shows that the link is alive."""

    number: int


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Answer to a `Probe`, sent on the peer's own link to the prober."""

    number: int


@dataclass(frozen=True, slots=True)
class Envelope:
    """One encoded message.

    Attributes
    ----------
    kind : str
        Class name of the message.
    body : msgspec.Raw
        Message in MessagePack.
    exchange : int
        Number that a request and its reply share; 0 for a message without a
        reply.
    reply : bool
        Whether this is the reply.
    """

    kind: str
    body: msgspec.Raw
    exchange: int = 0
    reply: bool = False

    @property
    def is_bulk(self) -> bool:
        """Whether control messages have priority over this one."""
        return self.kind in _BULK_KINDS


@dataclass(frozen=True, slots=True)
class Frame:
    """Batch of messages from one daemon to another.

    Attributes
    ----------
    version : int
        `FRAME_VERSION` of the sender.
    address : str
        ``ip:port`` on which the sender listens for peers.
    """

    version: int
    sender: HostName
    incarnation: Incarnation
    address: Address
    envelopes: tuple[Envelope, ...]


@dataclass(frozen=True, slots=True)
class _FrameHead:
    version: int


_ENCODER: Final = msgspec.msgpack.Encoder()
_FRAME_DECODER: Final = msgspec.msgpack.Decoder(Frame)
_VERSION_DECODER: Final = msgspec.msgpack.Decoder(_FrameHead)
_MESSAGE_CLASSES: Final = (
    Refusal,
    Probe,
    ProbeAnswer,
    *(getattr(messages, name) for name in messages.__all__),
)
_DECODER_BY_KIND: Final = MappingProxyType(
    {
        kind.__name__: msgspec.msgpack.Decoder(kind)
        for kind in _MESSAGE_CLASSES
        if not issubclass(kind, str)
    }
)

#: Messages that carry callers' work, and large ones. All others are control
#: messages. Cancellations are bulk messages, so that none overtakes the work
#: request that it cancels.
_BULK_KINDS: Final = frozenset(
    kind.__name__
    for kind in (
        messages.WorkRequest,
        messages.WorkReply,
        messages.CancelWork,
        messages.ForwardClaim,
        messages.ClaimReply,
        messages.HandOver,
        messages.RevisionReply,
        messages.PartsReply,
        messages.ServerPage,
    )
)


def encode_message(
    message: object,
    exchange: int = 0,
    *,
    reply: bool = False,
) -> Envelope:
    """Return the envelope of a message.

    Parameters
    ----------
    message : object
        Message of `boragespool.messages` or of this module.
    exchange : int, optional
        Exchange number of a request or a reply.
    reply : bool, optional
        Whether the message is a reply.
    """
    body = msgspec.Raw(_ENCODER.encode(message))
    return Envelope(type(message).__name__, body, exchange, reply)


def decode_message(envelope: Envelope) -> Any | Failure:
    """Return the message, or a failure for an unknown kind or invalid body."""
    decoder = _DECODER_BY_KIND.get(envelope.kind)
    if decoder is None:
        return Failure(
            ResultCode.PEER_REFUSED,
            f'unknown message kind {envelope.kind!r}; allowed are '
            f'{sorted(_DECODER_BY_KIND)}',
        )
    try:
        return decoder.decode(envelope.body)
    except msgspec.DecodeError as error:
        return Failure(
            ResultCode.PEER_REFUSED,
            f'message of kind {envelope.kind!r} is invalid: {error}',
        )


def encode_frame(frame: Frame) -> bytes:
    """Return a frame in MessagePack."""
    return _ENCODER.encode(frame)


def decode_frame(received: bytes) -> Frame | Failure:
    """Return a frame, or a failure for another version or invalid bytes."""
    try:
        version = _VERSION_DECODER.decode(received).version
    except msgspec.DecodeError as error:
        return Failure(ResultCode.PEER_REFUSED, f'frame is invalid: {error}')
    if version != FRAME_VERSION:
        return Failure(
            ResultCode.PEER_VERSION,
            f'unsupported frame version {version!r}; this daemon accepts '
            f'{FRAME_VERSION!r}',
        )
    try:
        return _FRAME_DECODER.decode(received)
    except msgspec.DecodeError as error:
        return Failure(ResultCode.PEER_REFUSED, f'frame is invalid: {error}')
