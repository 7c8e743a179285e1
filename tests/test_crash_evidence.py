"""Evidence for and against requests that may crash backend servers."""

from __future__ import annotations

import random

import pytest

from boragespool.forwarding import (
    MAX_PART_COUNT,
    BlockedRequests,
    BlockingLimits,
    CrashEvidence,
    ForwardRequest,
    LossNotice,
    request_identity,
)

LIMITS = BlockingLimits(loss_count=3, trial_count=2)


def identity(query='', path='/find/bad', **fields):
    """Return the identity of a request with header fields."""
    return request_identity(
        ForwardRequest(
            domain='shop.example',
            method='POST',
            target=f'{path}?{query}' if query else path,
            path=path,
            body=b'x' * 300,
            fields=(
                ('host', 'shop.example'),
                ('request-id', str(random.random())),
                *fields.items(),
            ),
            request_id=None,
            timeout_s=None,
        ),
        'request-id',
    )


def lose(evidence, request, loss_id, *, alone=True):
    """Record the loss of a server with a request in flight."""
    evidence.record_loss(
        LossNotice(
            request.fingerprint,
            loss_id,
            alone,
            request.base,
            tuple(request.parts),
        ),
        0,
    )
    evidence.update(0)


def answer(evidence, request):
    """Record that a request was answered with success."""
    evidence.record_answer(request.base, request.parts, 0)
    evidence.update(0)


def test_request_id_is_no_part_of_the_identity():
    """A repeat with a new id must not look like another request."""
    assert identity(caller='bad') == identity(caller='bad')
    assert identity(caller='bad') != identity(caller='sound')


def test_many_fields_count_as_a_bounded_number_of_parts():
    """A head of thousands of fields must not make a report too large."""
    fields = {f'field-{number}': 'x' for number in range(500)}
    assert len(identity(**fields).parts) == MAX_PART_COUNT
    other = identity(**(fields | {'field-499': 'y'}))
    assert len(other.parts & identity(**fields).parts) == MAX_PART_COUNT - 1


def test_losses_of_one_request_do_not_block_others_with_its_path():
    """Sound requests that differ in the query must stay allowed."""
    evidence = CrashEvidence(LIMITS)
    for number in range(8):
        lose(evidence, identity('page=1'), f'loss-{number}')
    assert evidence.is_blocked(identity('page=1'))
    assert not evidence.is_blocked(identity('page=2'))


def test_repeats_that_differ_in_a_part_are_blocked():
    """A new query each time must not hide what the repeats share."""
    evidence = CrashEvidence(LIMITS)
    for number in range(3):
        assert not evidence.is_blocked(identity('page=9', caller='bad'))
        request = identity(f'page={number}', caller='bad')
        lose(evidence, request, f'loss-{number}')
    assert evidence.is_blocked(identity('page=9', caller='bad'))
    assert not evidence.is_blocked(identity('page=9', caller='sound'))
    (blocked,) = evidence.blocked
    assert blocked == BlockedRequests(
        request.base, identity('page=9', caller='bad').parts & request.parts
    )


def test_answer_clears_only_what_it_shares_with_a_suspect():
    """An answer to one caller must not clear the requests of another."""
    evidence = CrashEvidence(LIMITS)
    lose(evidence, identity('page=1', caller='bad'), 'loss-1')
    assert evidence.is_suspect(identity('page=2', caller='sound'))
    answer(evidence, identity('page=3', caller='sound'))
    assert not evidence.is_suspect(identity('page=2', caller='sound'))
    assert evidence.is_suspect(identity('page=2', caller='bad'))
    answer(evidence, identity('page=1', caller='bad'))
    assert not evidence.is_suspect(identity('page=1', caller='bad'))


def test_sound_request_at_the_same_loss_does_not_widen_a_pattern():
    """A request that is lost beside a crashing one must not share the blame."""
    evidence = CrashEvidence(LIMITS)
    for number in range(2):
        loss_id = f'loss-{number}'
        lose(evidence, identity(f'page={number}', caller='bad'), loss_id)
        beside = identity(f'page=7{number}', caller='sound')
        lose(evidence, beside, loss_id, alone=False)
    lose(evidence, identity('page=1', caller='bad'), 'loss-2')
    assert not evidence.is_blocked(identity('page=9', caller='sound'))
    lose(evidence, identity('page=3', caller='bad'), 'loss-3')
    assert evidence.is_blocked(identity('page=9', caller='bad'))
    assert not evidence.is_blocked(identity('page=9', caller='sound'))


def test_reports_without_base_block_single_requests_only():
    """Reports of older daemons must not share the blame between requests."""
    evidence = CrashEvidence(LIMITS)
    for fingerprint in range(1, 4):
        for number in range(fingerprint):
            loss_id = f'loss-{fingerprint}-{number}'
            evidence.record_loss(
                LossNotice(fingerprint, loss_id, alone=True), 0
            )
    evidence.update(0)
    assert evidence.blocked == {BlockedRequests(3)}


def test_losses_expire():
    """A suspicion must end, and take its answers with it."""
    evidence = CrashEvidence(LIMITS)
    request = identity(caller='bad')
    lose(evidence, request, 'loss-1')
    answer(evidence, identity(caller='sound'))
    evidence.expire(1_000)
    assert not evidence.has_base(request.base)
    assert not evidence.is_suspect(request)


@pytest.mark.parametrize('seed', range(50))
def test_only_the_crashing_caller_is_blocked(seed):
    """Whatever else is in flight, only the requests of one caller crash."""
    chance = random.Random(seed)
    evidence = CrashEvidence(LIMITS)

    def request(caller):
        return identity(
            f'page={chance.randrange(4)}',
            caller=caller,
            trace=str(chance.randrange(3)),
            agent=chance.choice(('one', 'two')),
        )

    sound = ('a', 'b', 'c')
    for caller in sound:
        answer(evidence, request(caller))
    crash_count = 0
    for number in range(24):
        loss_id = f'loss-{number}'
        crashing = request('bad')
        if not evidence.is_blocked(crashing):
            crash_count += 1
            lose(evidence, crashing, loss_id)
        for caller in sound:
            if chance.random() < 0.2:
                lose(evidence, request(caller), loss_id, alone=False)
            answer(evidence, request(caller))
    # Three, two more if some of these are equal, and one for each of the three
    # differing parts that the first ones have in common by chance.
    assert crash_count <= 3 + 2 + 3
    assert evidence.is_blocked(request('bad'))
    for caller in sound:
        assert not evidence.is_blocked(request(caller))


def test_reports_of_other_daemons_narrow_a_pattern():
    """A sound caller must not stay blocked once all losses are known."""
    evidence = CrashEvidence(LIMITS)
    bad = [identity(f'page={number}', caller='bad') for number in range(4)]
    lose(evidence, bad[0], 'loss-0', alone=False)
    lose(evidence, bad[1], 'loss-1')
    lose(evidence, identity('page=7', caller='sound'), 'loss-2')
    assert evidence.is_blocked(identity('page=8', caller='sound'))
    lose(evidence, bad[2], 'loss-2')
    lose(evidence, bad[3], 'loss-3')
    assert not evidence.is_blocked(identity('page=8', caller='sound'))
    assert evidence.is_blocked(identity('page=8', caller='bad'))
