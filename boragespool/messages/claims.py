"""Claims between the receiving daemon, the issuer and the witness."""

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
    """State of a ticket at its issuer or its witness."""

    STARTING = 'starting'
    STARTED = 'started'
    OUTCOME = 'outcome'
    SEALED = 'sealed'


class WitnessVerdict(enum.StrEnum):
    """Answer of a witness.

    ``RECORDED``: the record is kept. ``SEALED``: the ticket never runs.
    ``STARTED``: a start without outcome. ``OUTCOME``: the outcome is known.
    ``FORGOTTEN``: the witness cannot vouch for the ticket. ``SILENT``: the
    witness did not answer in time; it may still record what it was asked.
    """

    RECORDED = 'recorded'
    SEALED = 'sealed'
    STARTED = 'started'
    OUTCOME = 'outcome'
    FORGOTTEN = 'forgotten'
    SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """State of one ticket.

    Attributes
    ----------
    body_hash : int
        xxhash of route and body; a ticket is bound to one claim.
    code : int
        Result code of the outcome.
    outcome : Any
        JSON value of the backend server.
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
    """Highest sequence number of an issuer whose record was dropped."""

    issuer: HostName
    issuer_incarnation: Incarnation
    sequence: int


@dataclass(frozen=True, slots=True)
class ForwardClaim:
    """Hands a claim to the issuer of its ticket.

    A rank lowers that of the route. With `outcome_only` the issuer seals a
    ticket that has not started.
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
    """Result of a claim."""

    code: int
    run: RunState
    outcome: Any = None
    reason: str = ''
    retry_after_s: Seconds = 0


@dataclass(frozen=True, slots=True)
class RecordStart:
    """Asks the witness to record that a ticket starts."""

    record: ClaimRecord
    witness: HostName
    witness_incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Tells the witness the outcome of a ticket."""

    record: ClaimRecord
    witness: HostName
    witness_incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class SealTicket:
    """Asks the witness to seal a ticket that has not started."""

    record: ClaimRecord
    witness: HostName
    witness_incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class WitnessReply:
    """Answers `RecordStart`, `RecordOutcome` and `SealTicket`."""

    verdict: WitnessVerdict
    record: ClaimRecord | None = None


@dataclass(frozen=True, slots=True)
class HandOver:
    """Moves the witness records of a leaving daemon.

    Attributes
    ----------
    identities : tuple of (str, int)
        Hosts and incarnations for which the sender was the witness.
    last : bool
        Whether the receiver now stands for the identities.
    """

    identities: tuple[tuple[HostName, Incarnation], ...]
    records: tuple[ClaimRecord, ...]
    dropped: tuple[DroppedMark, ...]
    last: bool


@dataclass(frozen=True, slots=True)
class HandOverAck:
    """Confirms one `HandOver`."""

    accepted: bool
