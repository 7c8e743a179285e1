"""Tickets, issuers and witnesses, which run each claim at most once.

A ticket is the idempotency key of a claim. The daemon that issued it is the
only one that may run the claim; a second daemon, the witness, records the
start, so that the ticket can be sealed if the issuer fails.
"""

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
