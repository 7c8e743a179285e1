"""Tickets, issuers and witnesses: claims run at most once."""

from __future__ import annotations

from boragespool.claims.issuer import (
    IssuerIdentity,
    choose_witness,
    find_or_create_record,
    issue_ticket,
    starting_record,
    unknown_outcome_failure,
)
from boragespool.claims.records import ClaimRecordTable
from boragespool.claims.tickets import (
    Ticket,
    format_ticket,
    parse_ticket,
)
from boragespool.claims.witness import record_outcome, record_start, seal_ticket

__all__ = (
    'ClaimRecordTable',
    'IssuerIdentity',
    'Ticket',
    'choose_witness',
    'find_or_create_record',
    'format_ticket',
    'issue_ticket',
    'parse_ticket',
    'record_outcome',
    'record_start',
    'seal_ticket',
    'starting_record',
    'unknown_outcome_failure',
)
