"""Claims run at most once, and answers state truly whether they ran."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.claims import (
    ClaimRecordTable,
    parse_ticket,
    record_outcome,
    record_start,
    seal_ticket,
    starting_record,
)
from boragespool.claims.tickets import Ticket, format_ticket
from boragespool.controllers.requests import ClaimRequest
from boragespool.messages import WitnessReply, WitnessVerdict
from boragespool.results import Failure, ResultCode
from tests.claim_simulation import HOSTS, ClaimSimulation, run_simulations

CI_SEEDS = 1_500


@pytest.mark.parametrize('fault_rate', [0.05, 0.3])
def test_interleavings_run_claims_at_most_once(fault_rate):
    """Guards against claims that run twice or are wrongly reported as not run.

    Messages that are lost, delayed or reordered, and daemons that pause or
    restart, can make an issuer and its witness disagree about a ticket.
    """
    states, violations = run_simulations(range(CI_SEEDS), fault_rate)
    assert not violations
    assert states['run']
    assert states['not_run']


def test_refusals_for_overload_are_true():
    """Guards against overload refusals that are wrong about a claim.

    A daemon can refuse a claim that also arrived elsewhere and ran there. The
    refusal may then not say `not_run`.
    """
    states, violations = run_simulations(range(1_000), 0.1, refusal_rate=0.3)
    assert not violations
    assert states['run']


def test_no_outcome_is_unknown_without_faults():
    """Guards against outcomes that are reported as `unknown` for no reason.

    Without faults no message is lost, so every outcome is known.
    """
    states, violations = run_simulations(range(500), 0)
    assert not violations
    assert states['unknown'] == 0


def ticket(sequence: int) -> Ticket:
    """Return a ticket of the issuer ``a`` with the witness ``b``."""
    return Ticket('a', 1, sequence, 0, 'b', 1, 'x')


@settings(derandomize=True, max_examples=300)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(['start', 'outcome', 'seal', 'expire']),
            st.integers(1, 6),
        ),
        max_size=40,
    ),
)
def test_witness_never_allows_start_after_seal(steps):
    """Guards against a witness that allows a ticket to start after its seal.

    The table is bounded. Once a record is dropped, the witness must refuse
    the ticket instead of taking it for a new one.
    """
    table = ClaimRecordTable()
    started, sealed = set(), set()
    for now_s, (action, sequence) in enumerate(steps):
        record = starting_record(ticket(sequence), 1)
        if action == 'start':
            reply = record_start(table, record, now_s)
            if reply.verdict is WitnessVerdict.RECORDED:
                assert sequence not in started | sealed
                started.add(sequence)
        elif action == 'outcome':
            record_outcome(table, record, now_s)
        elif action == 'seal':
            reply = seal_ticket(table, record, now_s)
            if reply.verdict is WitnessVerdict.SEALED:
                assert sequence not in started
                sealed.add(sequence)
        else:
            table.expire(now_s, max_age_s=1_000, max_count=2)
            assert len(table) <= 2


def test_adopted_records_keep_marks():
    """Guards against a successor that seals a ticket which was started.

    The predecessor may have dropped the record. The successor must take over
    the marks of dropped records as well, and answer ``FORGOTTEN``.
    """
    old, successor = ClaimRecordTable(), ClaimRecordTable()
    for sequence in range(1, 5):
        record_start(old, starting_record(ticket(sequence), 1), 0)
    old.expire(0, max_age_s=10, max_count=1)
    successor.import_records(old.records(), old.dropped_marks(), 0)
    for sequence in range(1, 4):
        reply = seal_ticket(successor, starting_record(ticket(sequence), 1), 1)
        assert reply.verdict is WitnessVerdict.FORGOTTEN
    reply = seal_ticket(successor, starting_record(ticket(4), 1), 1)
    assert reply.verdict is WitnessVerdict.STARTED


@pytest.mark.parametrize('text', ['', 'x', 'AAAA', 'é', '{}'])
def test_other_text_is_not_a_ticket(text):
    """Guards against an exception on a malformed ticket.

    Callers can send any text as a ticket; they must get a result code.
    """
    refused = parse_ticket(text)
    assert isinstance(refused, Failure)
    assert refused.code == ResultCode.BAD_TICKET
    assert isinstance(parse_ticket(format_ticket(ticket(1))), Ticket)


@pytest.mark.parametrize(
    ('answer', 'verdict'),
    [
        (Failure(ResultCode.PEER_UNREACHABLE, ''), 'silent'),
        (Failure(ResultCode.PEER_REFUSED, ''), 'forgotten'),
        (WitnessReply(WitnessVerdict.FORGOTTEN), 'forgotten'),
    ],
)
def test_ticket_is_sealed_without_its_witness(answer, verdict):
    """Guards against a refusal that gives the wrong reason.

    If the witness does not record the start, the issuer seals the ticket and
    refuses the claim. The reason must tell a witness that is only slow from
    one that restarted and has no records.
    """

    async def run():
        simulation = ClaimSimulation(1, 0)
        for host in HOSTS:
            await simulation.start(host)

        async def no_witness(host, message, timeout_s):
            return answer

        issuer = simulation.controllers_by_host['a']
        (text,) = issuer.issue(1)
        simulation.peers_by_host['a'].request = no_witness
        request = ClaimRequest('r', 'claim', 'caller', text, b'1', 1)
        refusals = [await issuer.run(request) for _ in '12']
        for controller in simulation.controllers_by_host.values():
            await controller.__aexit__()
        return refusals, simulation.run_counts_by_ticket

    refusals, runs = asyncio.run(run())
    for refusal in refusals:
        assert refusal.code == ResultCode.NO_WITNESS
        assert refusal.run == 'not_run'
        assert refusal.reason.endswith(f'answered {verdict!r}')
    assert not runs
