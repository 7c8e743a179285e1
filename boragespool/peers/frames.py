"""Frames: how messages are encoded between daemons.

Unknown kinds and unknown fields are ignored, so that two releases can run
side by side. A frame of another version is refused with a result code.
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
    """Tells the sender of a request that it is not served."""

    code: int
    reason: str
    run: RunState = RunState.NOT_RUN


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks the peer to confirm that the link delivers."""

    number: int


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Confirms a `Probe` on the link in the other direction."""

    number: int


@dataclass(frozen=True, slots=True)
class Envelope:
    """One message with its kind.

    Attributes
    ----------
    exchange : int
        Pairs a request with its reply; 0 for neither.
    reply : bool
        Whether this is the reply.
    """

    kind: str
    body: msgspec.Raw
    exchange: int = 0
    reply: bool = False

    @property
    def is_bulk(self) -> bool:
        """Whether control messages are sent and handled before this one."""
        return self.kind in _BULK_KINDS


@dataclass(frozen=True, slots=True)
class Frame:
    """All messages that one daemon sends to another at one moment."""

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
_HEAD_DECODER: Final = msgspec.msgpack.Decoder(_FrameHead)
_KINDS: Final = (
    Refusal,
    Probe,
    ProbeAnswer,
    *(getattr(messages, name) for name in messages.__all__),
)
_DECODER_BY_KIND: Final = MappingProxyType(
    {
        kind.__name__: msgspec.msgpack.Decoder(kind)
        for kind in _KINDS
        if not issubclass(kind, str)
    }
)

#: Messages of callers' work, and large ones. All others are control messages.
#: Cancellations belong to the bulk, so that none overtakes its work.
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
    """Wrap one message of `boragespool.messages`."""
    body = msgspec.Raw(_ENCODER.encode(message))
    return Envelope(type(message).__name__, body, exchange, reply)


def decode_message(envelope: Envelope) -> Any | Failure:
    """Return the message in an envelope, or a failure for an unknown kind."""
    decoder = _DECODER_BY_KIND.get(envelope.kind)
    if decoder is None:
        return Failure(
            ResultCode.PEER_REFUSED,
            f'message kind {envelope.kind!r} is not one of '
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
    """Return the bytes of a frame."""
    return _ENCODER.encode(frame)


def decode_frame(received: bytes) -> Frame | Failure:
    """Return a frame, or a failure for another version or invalid bytes."""
    try:
        version = _HEAD_DECODER.decode(received).version
    except msgspec.DecodeError as error:
        return Failure(ResultCode.PEER_REFUSED, f'frame is invalid: {error}')
    if version != FRAME_VERSION:
        return Failure(
            ResultCode.PEER_VERSION,
            f'frame version {version!r} is not {FRAME_VERSION!r}',
        )
    try:
        return _FRAME_DECODER.decode(received)
    except msgspec.DecodeError as error:
        return Failure(ResultCode.PEER_REFUSED, f'frame is invalid: {error}')
