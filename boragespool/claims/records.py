"""A bounded table of claim records.

Owns the records of one issuer or one witness. A table that dropped a record
keeps the highest dropped sequence number of its issuer, so that it never
takes a forgotten ticket for one that has not started.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from boragespool.messages import ClaimRecord, DroppedMark

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.types import HostName, Incarnation, Seconds

#: A mark takes about 200 bytes; 11,000 restarts a day make 7 days of marks.
DROPPED_MARK_LIMIT: Final = 80_000


class ClaimRecordTable:
    """Records by ticket, oldest first, with marks of what was dropped."""

    def __init__(self) -> None:
        """Start with an empty table."""
        self._record_by_ticket: OrderedDict[
            str,
            tuple[Seconds, ClaimRecord],
        ] = OrderedDict()
        self._mark_by_issuer: dict[tuple[HostName, Incarnation], int] = {}
        self._forgotten_incarnation: Incarnation = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._record_by_ticket)

    def get(self, ticket_id: str) -> ClaimRecord | None:
        """Return the record of a ticket."""
        entry = self._record_by_ticket.get(ticket_id)
        return entry[1] if entry else None

    def put(self, record: ClaimRecord, now_s: Seconds) -> None:
        """Insert or replace a record; its age counts from the first put."""
        entry = self._record_by_ticket.get(record.ticket_id)
        first_s = entry[0] if entry else now_s
        self._record_by_ticket[record.ticket_id] = (first_s, record)

    def was_never_recorded(self, record: ClaimRecord) -> bool:
        """Tell whether a missing record means that none was ever made."""
        issuer = (record.issuer, record.issuer_incarnation)
        mark = self._mark_by_issuer.get(issuer)
        if mark is None:
            return record.issuer_incarnation > self._forgotten_incarnation
        return record.sequence > mark

    def expire(self, now_s: Seconds, max_age_s: Seconds, max_count: int) -> int:
        """Drop records that are too old or too many, oldest first.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        max_age_s : float
            Age from which records are dropped, in seconds.
        count : int
            Records to keep at most.

        Returns
        -------
        int
            Records dropped.
        """
        dropped = 0
        while self._record_by_ticket:
            first_s, record = next(iter(self._record_by_ticket.values()))
            if len(self) <= max_count and now_s - first_s < max_age_s:
                break
            self._record_by_ticket.popitem(last=False)
            self._mark(
                DroppedMark(
                    record.issuer,
                    record.issuer_incarnation,
                    record.sequence,
                ),
            )
            dropped += 1
        self._bound_marks()
        return dropped

    def records(self) -> tuple[ClaimRecord, ...]:
        """Return all records, oldest first."""
        return tuple(entry[1] for entry in self._record_by_ticket.values())

    def dropped_marks(self) -> tuple[DroppedMark, ...]:
        """Return what was dropped.

        A mark with an empty issuer stands for all issuers up to its
        incarnation.
        """
        own = tuple(
            DroppedMark(host, incarnation, sequence)
            for (host, incarnation), sequence in self._mark_by_issuer.items()
        )
        return (*own, DroppedMark('', self._forgotten_incarnation, 0))

    def import_records(
        self,
        records: Iterable[ClaimRecord],
        marks: Iterable[DroppedMark],
        now_s: Seconds,
    ) -> None:
        """Take over the records and marks of another table."""
        for mark in marks:
            self._mark(mark)
        for record in records:
            self.put(record, now_s)

    def _mark(self, mark: DroppedMark) -> None:
        if not mark.issuer:
            self._forgotten_incarnation = max(
                self._forgotten_incarnation,
                mark.issuer_incarnation,
            )
            return
        issuer = (mark.issuer, mark.issuer_incarnation)
        known = self._mark_by_issuer.get(issuer, 0)
        self._mark_by_issuer[issuer] = max(known, mark.sequence)

    def _bound_marks(self) -> None:
        """Replace the marks of the oldest incarnations by one for all."""
        excess = len(self._mark_by_issuer) - DROPPED_MARK_LIMIT
        if excess <= 0:
            return
        oldest = sorted(self._mark_by_issuer, key=lambda issuer: issuer[1])
        for issuer in oldest[:excess]:
            self._mark_by_issuer.pop(issuer)
            self._mark(DroppedMark('', issuer[1], 0))
