"""Tickets: the idempotency keys of claims."""

from __future__ import annotations

import base64
import binascii
import hmac
from dataclasses import dataclass, replace
from typing import Final

import msgspec

from boragespool.results import Failure, ResultCode
from boragespool.types import HostName, Incarnation, Seconds

_SIGNATURE_SIZE: Final = 12
_DIGEST: Final = 'sha256'
_ENCODER: Final = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run one claim at most once.

    Attributes
    ----------
    issuer, issuer_incarnation
        The only process that may run the ticket.
    sequence : int
        Counts the issuer's tickets from 1.
    issued_at_s : float
        Time on the issuer's own monotonic clock, in seconds.
    witness, witness_incarnation
        The process that records the start; an empty host for none.
    signature : str
        Keyed digest of the other fields. Only the issuer can check it.
    """

    issuer: HostName
    issuer_incarnation: Incarnation
    sequence: int
    issued_at_s: Seconds
    witness: HostName
    witness_incarnation: Incarnation
    signature: str = ''

    @property
    def ticket_id(self) -> str:
        """Key of the ticket's records.

        The signature is part of it, so that a forged ticket cannot seal a
        real one at its witness.
        """
        return (
            f'{self.issuer}/{self.issuer_incarnation}/{self.sequence}'
            f'/{self.signature}'
        )


_DECODER: Final = msgspec.json.Decoder(Ticket)


def sign_ticket(ticket: Ticket, key: bytes) -> Ticket:
    """Return the ticket with its signature under the issuer's key."""
    unsigned = _ENCODER.encode(replace(ticket, signature=''))
    digest = hmac.new(key, unsigned, _DIGEST).hexdigest()
    return replace(ticket, signature=digest[:_SIGNATURE_SIZE])


def has_valid_signature(ticket: Ticket, key: bytes) -> bool:
    """Tell whether the ticket was signed with the key."""
    return hmac.compare_digest(
        sign_ticket(ticket, key).signature,
        ticket.signature,
    )


def format_ticket(ticket: Ticket) -> str:
    """Return the text that callers are given."""
    return base64.urlsafe_b64encode(_ENCODER.encode(ticket)).decode('ascii')


def parse_ticket(text: str) -> Ticket | Failure:
    """Read the text that a caller sent.

    Parameters
    ----------
    text : str
        Text from `format_ticket`.

    Returns
    -------
    Ticket or Failure
        A failure with `ResultCode.BAD_TICKET` for any other text.
    """
    try:
        return _DECODER.decode(base64.urlsafe_b64decode(text.encode()))
    except (binascii.Error, msgspec.DecodeError, ValueError):
        return Failure(
            ResultCode.BAD_TICKET,
            f'{text!r} is not a ticket from GET /v1/addresses',
        )
