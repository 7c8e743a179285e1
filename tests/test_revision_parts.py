"""Revisions in parts: splitting, assembling and retention."""

from __future__ import annotations

import dataclasses
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.results import Failure, ResultCode
from boragespool.revisions import (
    AssembledRevision,
    Change,
    History,
    RevisionDocument,
    assemble,
    decode_revision,
    encode_document,
    encode_revision,
    hashes_to_fetch,
    next_document,
    part_hash,
    plan_retention,
    referenced_hashes,
    without_audit,
)
from boragespool.revisions.buckets import buckets
from boragespool.revisions.encoding import VALUE_LIMIT_BYTES
from boragespool.settings import (
    RouteSettings,
    ServerSettings,
    ServiceSettings,
    Settings,
    find_problems,
)
from boragespool.types import Rank, WorkKind

PROFILE = settings(derandomize=True, max_examples=60, deadline=None)
CHANGE = Change('id', 'apply', 'amina', 1.0)


@st.composite
def configurations(draw):
    """Draw settings whose services are small, empty or span many parts.

    Some break a rule: names and addresses may repeat, routes may name a
    service that does not exist.
    """
    services = {}
    for service in draw(st.sets(st.sampled_from('abc'), max_size=3)):
        first = draw(st.sampled_from((0, 0, 0, 150)))
        count = draw(st.sampled_from((0, 1, 3, 48, 49, 200)))
        base = 1_000 * 'abc'.index(service)
        base = draw(st.sampled_from((base, base, base, 0)))
        servers = {
            f's-{base + first + number}': ServerSettings(
                f'10.0.{(base + number) // 250}.{(base + number) % 250}:90',
                'north',
                drained=draw(st.booleans()) if number < 2 else False,
            )
            for number in range(count)
        }
        slots = draw(st.sampled_from((1, 5, 9, 0)))
        services[service] = ServiceSettings(slots, 8, servers)
    routes = {
        f'r-{number}': RouteSettings(
            draw(st.sampled_from('ab')), Rank.URGENT, WorkKind.QUERY, 9
        )
        for number in range(draw(st.sampled_from((0, 1, 2, 60))))
    }
    return Settings(services=services, routes=routes)


def packed(given, revision=1):
    """Encode settings as a revision in parts."""
    return encode_revision(RevisionDocument(revision, str(revision), given))


@PROFILE
@given(configurations())
def test_join_of_split_is_the_whole(given_settings):
    """A piece lost or altered on its way would change the configuration."""
    # Guards against settings that differ after a revision is split into parts
    # and assembled again.
    done = packed(given_settings)
    joined = assemble(done.manifest, done.parts)
    if find_problems(given_settings):
        assert joined.code is ResultCode.INVALID_SETTING
    else:
        assert joined.document.settings == given_settings


@PROFILE
@given(st.lists(configurations(), min_size=2, max_size=5))
def test_step_by_step_equals_the_whole(chain):
    """Validating only what changed must accept exactly the valid ones."""
    # Guards against incremental validation that accepts or rejects other
    # settings than the validation of the whole revision.
    before = None
    for number, wanted in enumerate(chain, start=1):
        done = packed(wanted, number)
        whole = assemble(done.manifest, done.parts)
        step = assemble(done.manifest, done.parts, before)
        assert isinstance(step, Failure) == bool(find_problems(wanted)), step
        if isinstance(step, AssembledRevision):
            assert step == whole
            before = step


def test_addresses_that_swap_places_are_checked():
    """Guards against duplicate addresses when only one part changed.

    The other server with the address can be in a part that is not validated
    again.
    """
    servers = {
        f's-{number}': ServerSettings(f'10.0.0.{number}:9', 'north')
        for number in range(1, 200)
    }

    def changed(**addresses):
        moved = {
            f's-{name[1:]}': ServerSettings(f'10.0.0.{number}:9', 'north')
            for name, number in addresses.items()
        }
        return packed(
            Settings(services={'a': ServiceSettings(1, 1, servers | moved)})
        )

    first = changed()
    before = assemble(first.manifest, first.parts)
    swapped = changed(n3=7, n7=3)
    assert isinstance(
        assemble(swapped.manifest, swapped.parts, before), AssembledRevision
    )
    doubled = changed(n3=7)
    assert 'has it' in assemble(doubled.manifest, doubled.parts, before).reason
    twice = changed(n3=250, n7=250)
    assert 'has it' in assemble(twice.manifest, twice.parts, before).reason


@PROFILE
@given(
    st.sets(st.integers(0, 100_000), min_size=1, max_size=400),
    st.integers(100_001, 200_000),
    st.integers(1, 60),
)
def test_one_name_more_changes_one_bucket(numbers, added, limit):
    """Chunks that shift would rewrite a whole service for one server."""
    # Guards against one added server that moves the servers of other buckets,
    # so that all their parts are rewritten.
    names = {str(number) for number in numbers}
    before = buckets(names, limit)
    after = buckets(names | {str(added)}, limit)
    assert sorted(name for one in before.values() for name in one) == sorted(
        names
    )
    assert all(len(one) <= limit for one in before.values())
    lost = set(before.items()) - set(after.items())
    assert len(lost) <= 1
    new = set(after.items()) - set(before.items())
    moved = {name for _, one in new for name in one} - {str(added)}
    assert moved <= {name for _, one in lost for name in one}


def many_servers(count, slots=5):
    """Build one service with many backend servers."""
    servers = {
        f's-{number:05}': ServerSettings(
            f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9', 'north'
        )
        for number in range(count)
    }
    return Settings(services={'a': ServiceSettings(slots, 40, servers)})


def test_large_revision_fits_the_store_and_small_changes_stay_small():
    """Guards against a revision that exceeds the store's limit per value.

    Some thousand servers exceed 1 MB in one value. In parts, each value must
    stay small, and a small change must rewrite few parts.
    """
    first = next_document(many_servers(12_000), None, CHANGE)
    assert encode_document(first).code is ResultCode.VALUE_TOO_LARGE
    before = encode_revision(first)
    largest = max(map(len, before.parts.values()))
    assert max(largest, len(before.encoded)) < VALUE_LIMIT_BYTES / 20
    after = encode_revision(next_document(many_servers(12_001), first, CHANGE))
    assert len(after.parts.keys() - before.parts.keys()) <= 4
    limits = encode_revision(
        next_document(many_servers(12_000, 6), first, CHANGE)
    )
    assert len(limits.parts.keys() - before.parts.keys()) == 2


@PROFILE
@given(configurations(), st.randoms(use_true_random=False))
def test_missing_parts_are_named_until_the_revision_is_complete(
    given_settings, draw
):
    """A revision must not come into force with a part missing."""
    # Guards against a revision in force that lacks a part: parts are fetched in
    # several steps, because indexes refer to further parts.
    done = packed(given_settings)
    held = {}
    while True:
        wanted = hashes_to_fetch(done.manifest, held)
        assert not set(wanted) & held.keys()
        if not wanted:
            break
        for one in draw.sample(wanted, draw.randint(1, len(wanted))):
            held[one] = done.parts[one]
    assert held.keys() == referenced_hashes(done.manifest, held)
    assert held.keys() == done.parts.keys() - {done.manifest.history}


def test_part_that_is_wrong_fails_the_revision():
    """Guards against a configuration that lacks a part.

    Parts that are malformed or of another kind must fail the whole revision.
    """
    done = packed(many_servers(200))
    index = next(iter(done.manifest.indexes.values()))
    for wrong in (b'{', b'\xff', b'[]', b'{"a":1}'):
        failure = assemble(done.manifest, done.parts | {index: wrong})
        assert failure.code is ResultCode.INVALID_SETTING
        assert decode_revision(wrong).code is ResultCode.INVALID_SETTING
    leaves = [
        one
        for one, text in done.parts.items()
        if b'servers' in text or b'limits' in text or b'rest' in text
    ]
    assert len(leaves) > 4
    for leaf in leaves:
        for wrong in (b'{"slots":', b'{"servers":[]}', b'\xff'):
            assert isinstance(
                assemble(done.manifest, done.parts | {leaf: wrong}), Failure
            )


def test_pieces_that_are_lost_or_occur_twice_are_refused():
    """Guards against a manifest that silently drops a service or a server.

    The limits of a service are lost, or one part occurs twice instead of
    another.
    """
    done = packed(many_servers(200))
    [limits] = [one for one, text in done.parts.items() if b'limits' in text]
    first, second, *_ = (
        one for one, text in done.parts.items() if b'servers' in text
    )
    for part, text in ((limits, b'{}'), (first, done.parts[second])):
        failure = assemble(done.manifest, done.parts | {part: text})
        assert 'exactly one' in failure.reason


def test_peers_get_no_audit_trail_but_newer_keys():
    """Guards against audit entries in the documents for peers.

    They would use up the bytes that a daemon may send. Unknown keys of a
    newer release must stay.
    """
    done = encode_revision(next_document(Settings(), None, CHANGE))
    newer = done.encoded[:-1] + b',"added_later":[1]}'
    sent = without_audit(newer)
    assert b'"added_later":[1]' in sent
    assert decode_revision(sent) == dataclasses.replace(done.manifest, audit=())


@PROFILE
@given(st.integers(0, 2**32), st.integers(1, 4))
def test_kept_revisions_keep_their_parts(seed, width):
    """A rollback must find every part of every revision that is kept."""
    # Guards against the deletion of parts that a kept revision still refers to,
    # and against parts that are never deleted.
    draw = random.Random(seed)
    names = [part_hash(bytes([number])) for number in range(6)]
    history = History()
    revisions = {1: frozenset(draw.sample(names, width))}
    emptied = {}
    for base in range(1, 260):
        wanted = frozenset(draw.sample(names, width))
        kept = plan_retention(history, base, revisions[base], wanted)
        revisions[base + 1] = wanted
        in_use = set().union(
            *(revisions[one] for one in range(kept.kept_from, base + 2))
        )
        assert not in_use & set(kept.parts_to_retire)
        assert base + 1 - kept.kept_from <= 100
        emptied = {one: base for one in (*emptied, *kept.parts_to_retire)}
        # Each part that is no longer in use must be retired now or earlier,
        # or be listed as replaced.
        seen = set().union(*revisions.values())
        assert seen - in_use <= emptied.keys() | {
            one.part for one in kept.replaced
        }
        history = History(replaced=kept.replaced, kept_from=kept.kept_from)


def test_large_changes_reduce_the_kept_revisions():
    """Guards against a list of replaced parts that exceeds a store value.

    If changes replace many parts, fewer old revisions are kept.
    """
    history = History()
    for base in range(1, 6):
        held = frozenset(f'{base}-{number}' for number in range(3_000))
        kept = plan_retention(history, base, held, frozenset())
        assert len(kept.replaced) <= 8_000
        history = History(replaced=kept.replaced, kept_from=kept.kept_from)
    assert history.kept_from == 4
    alone = frozenset(map(str, range(9_000)))
    assert plan_retention(history, 6, alone, frozenset()).kept_from == 6
