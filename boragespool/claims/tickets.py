"""Tickets, the signed idempotency keys of claims, and their encoding."""

from __future__ import annotations

import base64
import binascii
import hmac
from dataclasses import dataclass, replace
from typing import Final

import msgspec

from boragespool.results import Failure, ResultCode
from boragespool.types import HostName, Incarnation, Seconds

_SIGNATURE_HEX_DIGITS: Final = 12
_HASH_NAME: Final = 'sha256'
_ENCODER: Final = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run one claim at most once.

    Attributes
    ----------
    issuer, issuer_incarnation : str, int
        The only daemon process that may run the claim.
    sequence : int
        Number of the ticket among those of the issuer's incarnation, from 1.
    issued_at_s : float
        Issue time on the issuer's monotonic clock, in seconds.
    witness, witness_incarnation : str, int
        Daemon process that records the start; the host is empty for a ticket
        without a witness.
    signature : str
        Truncated HMAC of the other fields. Only the issuer can verify it.
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
        """Key of the ticket's claim records.

        It includes the signature, so that a forged ticket cannot seal a
        genuine one at its witness.
        """
        return (
            f'{self.issuer}/{self.issuer_incarnation}/{self.sequence}'
            f'/{self.signature}'
        )


_DECODER: Final = msgspec.json.Decoder(Ticket)


def sign_ticket(ticket: Ticket, key: bytes) -> Ticket:
    """Return the ticket with a signature made with the issuer's key."""
    unsigned = _ENCODER.encode(replace(ticket, signature=''))
    digest = hmac.new(key, unsigned, _HASH_NAME).hexdigest()
    return replace(ticket, signature=digest[:_SIGNATURE_HEX_DIGITS])


def has_valid_signature(ticket: Ticket, key: bytes) -> bool:
    """Return whether the ticket was signed with the given key."""
    return hmac.compare_digest(
        sign_ticket(ticket, key).signature,
        ticket.signature,
    )


def format_ticket(ticket: Ticket) -> str:
    """Return the encoded ticket as callers receive and send it."""
    return base64.urlsafe_b64encode(_ENCODER.encode(ticket)).decode('ascii')


def parse_ticket(text: str) -> Ticket | Failure:
    """Decode a ticket that a caller sent.

    Parameters
    ----------
    text : str
        Ticket as encoded by `format_ticket`.

    Returns
    -------
    Ticket or Failure
        A failure with `ResultCode.BAD_TICKET` if the text cannot be decoded.
        The signature is not verified.
    """
    try:
        return _DECODER.decode(base64.urlsafe_b64decode(text.encode()))
    except (binascii.Error, msgspec.DecodeError, ValueError):
        return Failure(
            ResultCode.BAD_TICKET,
            f'{text!r} is not a valid ticket; tickets are obtained from GET '
            '/v1/addresses',
        )
