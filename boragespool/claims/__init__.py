"""Tickets, issuers and witnesses: claims run at most once."""

from __future__ import annotations

from boragespool.claims.issuer import (
    Issuer,
    begin,
    choose_witness,
    forgotten,
    issue_ticket,
    new_record,
)
from boragespool.claims.records import RecordTable
from boragespool.claims.tickets import (
    Ticket,
    format_ticket,
    parse_ticket,
)
from boragespool.claims.witness import record_outcome, record_start, seal

__all__ = (
    'Issuer',
    'RecordTable',
    'Ticket',
    'begin',
    'choose_witness',
    'forgotten',
    'format_ticket',
    'issue_ticket',
    'new_record',
    'parse_ticket',
    'record_outcome',
    'record_start',
    'seal',
)
