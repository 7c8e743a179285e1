"""Bounded table of the claim records of one issuer or one witness.

When a record is dropped, the table keeps the highest dropped sequence number
of its issuer. A ticket whose record was dropped is therefore never mistaken
for a ticket that has not started.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from boragespool.messages import ClaimRecord, DroppedMark

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.types import HostName, Incarnation, Seconds

#: A mark takes about 200 bytes. At 11,000 daemon restarts a day, the marks
#: cover 7 days.
DROPPED_MARK_LIMIT: Final = 80_000


class ClaimRecordTable:
    """Claim records by ticket, oldest first, and marks of dropped records.

    A mark is the highest sequence number of an issuer incarnation whose
    record was dropped. Marks beyond `DROPPED_MARK_LIMIT` are replaced by one
    incarnation number, up to which all incarnations count as dropped.
    """

    def __init__(self) -> None:
        """Set up an empty table."""
        self._record_by_ticket: OrderedDict[
            str,
            tuple[Seconds, ClaimRecord],
        ] = OrderedDict()
        self._mark_by_issuer: dict[tuple[HostName, Incarnation], int] = {}
        self._dropped_incarnation: Incarnation = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._record_by_ticket)

    def get(self, ticket_id: str) -> ClaimRecord | None:
        """Return the record of a ticket, or None if there is none."""
        entry = self._record_by_ticket.get(ticket_id)
        return entry[1] if entry else None

    def put(self, record: ClaimRecord, now_s: Seconds) -> None:
        """Insert or replace a record; replacing it does not reset its age."""
        entry = self._record_by_ticket.get(record.ticket_id)
        added_at_s = entry[0] if entry else now_s
        self._record_by_ticket[record.ticket_id] = (added_at_s, record)

    def was_never_recorded(self, record: ClaimRecord) -> bool:
        """Return whether the table certainly never held this record.

        Parameters
        ----------
        record : ClaimRecord
            Record of a ticket that is not in the table.

        Returns
        -------
        bool
            False if the record may have been dropped.
        """
        issuer = (record.issuer, record.issuer_incarnation)
        mark = self._mark_by_issuer.get(issuer)
        if mark is None:
            return record.issuer_incarnation > self._dropped_incarnation
        return record.sequence > mark

    def expire(self, now_s: Seconds, max_age_s: Seconds, max_count: int) -> int:
        """Drop the oldest records that exceed the age or count limit.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        max_age_s : float
            Age at which a record is dropped, in seconds.
        max_count : int
            Maximum number of records to keep.

        Returns
        -------
        int
            Number of dropped records.
        """
        dropped = 0
        while self._record_by_ticket:
            added_at_s, record = next(iter(self._record_by_ticket.values()))
            if len(self) <= max_count and now_s - added_at_s < max_age_s:
                break
            self._record_by_ticket.popitem(last=False)
            self._add_dropped_mark(
                DroppedMark(
                    record.issuer,
                    record.issuer_incarnation,
                    record.sequence,
                ),
            )
            dropped += 1
        self._limit_dropped_marks()
        return dropped

    def records(self) -> tuple[ClaimRecord, ...]:
        """Return all records, oldest first."""
        return tuple(entry[1] for entry in self._record_by_ticket.values())

    def dropped_marks(self) -> tuple[DroppedMark, ...]:
        """Return the marks of dropped records, for transfer to a successor.

        The mark with an empty issuer applies to all incarnations of all
        issuers up to its incarnation number.
        """
        marks = tuple(
            DroppedMark(host, incarnation, sequence)
            for (host, incarnation), sequence in self._mark_by_issuer.items()
        )
        return (*marks, DroppedMark('', self._dropped_incarnation, 0))

    def import_records(
        self,
        records: Iterable[ClaimRecord],
        marks: Iterable[DroppedMark],
        now_s: Seconds,
    ) -> None:
        """Add the records and marks of another table."""
        for mark in marks:
            self._add_dropped_mark(mark)
        for record in records:
            self.put(record, now_s)

    def _add_dropped_mark(self, mark: DroppedMark) -> None:
        if not mark.issuer:
            self._dropped_incarnation = max(
                self._dropped_incarnation,
                mark.issuer_incarnation,
            )
            return
        issuer = (mark.issuer, mark.issuer_incarnation)
        previous = self._mark_by_issuer.get(issuer, 0)
        self._mark_by_issuer[issuer] = max(previous, mark.sequence)

    def _limit_dropped_marks(self) -> None:
        """Replace the excess marks of the oldest incarnations by one mark."""
        excess = len(self._mark_by_issuer) - DROPPED_MARK_LIMIT
        if excess <= 0:
            return
        oldest = sorted(self._mark_by_issuer, key=lambda issuer: issuer[1])
        for issuer in oldest[:excess]:
            self._mark_by_issuer.pop(issuer)
            self._add_dropped_mark(DroppedMark('', issuer[1], 0))
