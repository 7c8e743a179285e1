"""Messages about claims between receiving daemon, ticket issuer and witness.

The issuer of a ticket runs its claim. The witness is another daemon, which
records the start and the outcome and can seal a ticket, so that it never runs.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from boragespool.types import (
    CallerName,
    HostName,
    Incarnation,
    Rank,
    RouteName,
    RunState,
    Seconds,
)


class ClaimState(enum.StrEnum):
    """State of a ticket at its issuer or its witness.

    ``STARTING``: the issuer asks the witness to record the start.
    ``STARTED``: the claim may have run. ``OUTCOME``: the outcome is known.
    ``SEALED``: the claim never runs.
    """

    STARTING = 'starting'
    STARTED = 'started'
    OUTCOME = 'outcome'
    SEALED = 'sealed'


class WitnessVerdict(enum.StrEnum):
    """Result of a request to a witness.

    ``RECORDED``: the record was stored. ``SEALED``: the ticket never runs.
    ``STARTED``: a start is recorded, but no outcome. ``OUTCOME``: the outcome
    is known. ``FORGOTTEN``: there is no record, and the witness cannot tell
    whether there was one. ``SILENT``: the witness did not answer in time; it
    may still have processed the request.
    """

    RECORDED = 'recorded'
    SEALED = 'sealed'
    STARTED = 'started'
    OUTCOME = 'outcome'
    FORGOTTEN = 'forgotten'
    SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """State of one ticket and the outcome of its claim.

    Attributes
    ----------
    sequence : int
        Number of the ticket within the incarnation of its issuer.
    body_hash : int
        xxhash of route and body, which binds the ticket to one claim.
    code : int
        Result code of the outcome.
    run : RunState
        Whether the claim was executed.
    outcome : Any
        JSON value that the backend server returned.
    reason : str
        Why the claim was not run or failed.
    """

    ticket_id: str
    issuer: HostName
    issuer_incarnation: Incarnation
    sequence: int
    state: ClaimState
    body_hash: int = 0
    code: int = 0
    run: RunState = RunState.UNKNOWN
    outcome: Any = None
    reason: str = ''


@dataclass(frozen=True, slots=True)
class DroppedMark:
    """Highest sequence number of an issuer whose record was dropped.

    An empty issuer stands for all issuers up to `issuer_incarnation`.
    """

    issuer: HostName
    issuer_incarnation: Incarnation
    sequence: int


@dataclass(frozen=True, slots=True)
class ForwardClaim:
    """Request to the issuer of a ticket to run its claim.

    Attributes
    ----------
    body : bytes
        JSON of the caller's request.
    deadline_s : float
        Time left when the message was sent, in seconds.
    rank : Rank or None
        Rank that the caller asked for; it can only lower that of the route.
    outcome_only : bool
        Whether to return the outcome without running the claim; a ticket that
        has not started is sealed.
    """

    ticket: str
    route: RouteName
    caller: CallerName
    body: bytes
    deadline_s: Seconds
    rank: Rank | None = None
    outcome_only: bool = False


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Result of a claim.

    Attributes
    ----------
    code : int
        Result code.
    run : RunState
        Whether the claim was executed.
    outcome : Any
        JSON value that the backend server returned.
    reason : str
        Why the claim was not run or failed.
    retry_after_s : float
        Time after which a retry can be useful, in seconds; 0 if unknown.
    """

    code: int
    run: RunState
    outcome: Any = None
    reason: str = ''
    retry_after_s: Seconds = 0


@dataclass(frozen=True, slots=True)
class RecordStart:
    """Request to the witness to record that a claim starts.

    Attributes
    ----------
    witness, witness_incarnation : str, int
        Witness that the ticket names. A successor that took over its records
        answers in its place.
    """

    record: ClaimRecord
    witness: HostName
    witness_incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Request to the witness to record the outcome of a claim."""

    record: ClaimRecord
    witness: HostName
    witness_incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class SealTicket:
    """Request to the witness to seal a ticket that has not started."""

    record: ClaimRecord
    witness: HostName
    witness_incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class WitnessReply:
    """Reply to `RecordStart`, `RecordOutcome` and `SealTicket`.

    Attributes
    ----------
    record : ClaimRecord or None
        What the witness has recorded, if that decided the verdict.
    """

    verdict: WitnessVerdict
    record: ClaimRecord | None = None


@dataclass(frozen=True, slots=True)
class HandOver:
    """Request to take over the witness records of a leaving daemon.

    The records are sent in several messages.

    Attributes
    ----------
    identities : tuple of (str, int)
        Hosts and incarnations for which the sender answers as the witness.
    records : tuple of ClaimRecord
        Part of the records.
    dropped : tuple of DroppedMark
        Marks of the records that the sender has dropped.
    last : bool
        Whether this is the last message, after which the receiver answers for
        `identities`.
    """

    identities: tuple[tuple[HostName, Incarnation], ...]
    records: tuple[ClaimRecord, ...]
    dropped: tuple[DroppedMark, ...]
    last: bool


@dataclass(frozen=True, slots=True)
class HandOverAck:
    """Reply to `HandOver`."""

    accepted: bool
