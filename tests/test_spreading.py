"""The queue of changed server records, and the choice of their targets."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from boragespool import backends
from boragespool.types import ServerState
from tests.test_record_exchange import PROFILE, SERVERS, record


@PROFILE
@given(
    st.lists(
        st.tuples(
            st.sampled_from(SERVERS),
            st.booleans(),
            st.integers(0, 3),
            st.floats(0, 2),
        ),
        max_size=60,
    ),
)
def test_changes_stay_within_rate_and_sends(steps):
    """Any number of changes at once must not exceed the bytes."""
    # Guards against bursts of changes that exceed the byte rate or the number
    # of sends per change, and against changes that are sent for ever.
    limits = backends.SpreadLimits(
        bytes_per_s=600, burst_bytes=2_000, queue_count=5
    )
    queue = backends.SpreadQueue(limits, 0)
    now_s = sent_bytes = 0
    sends = {}
    for number, (server, is_urgent, targets, wait_s) in enumerate(steps):
        now_s += wait_s
        queue.enqueue(record(server, sequence=number), is_urgent=is_urgent)
        taken = queue.take(targets, now_s, urgent_only=False)
        for each in taken:
            sent_bytes += targets * backends.record_size_bytes(each)
            key = each.server, each.sequence
            sends[key] = sends.get(key, 0) + 1
            assert sends[key] <= limits.send_count
        assert sent_bytes <= limits.burst_bytes + limits.bytes_per_s * now_s
    for _ in range(limits.send_count * limits.queue_count):
        now_s += 1
        queue.take(1, now_s, urgent_only=False)
    assert not queue.take(1, now_s + 1, urgent_only=False)


def test_urgent_changes_go_first():
    """Guards against a lost server that is announced late.

    Under the byte limit, urgent changes go before changes of limits.
    """
    limits = backends.SpreadLimits(bytes_per_s=0, burst_bytes=300)
    queue = backends.SpreadQueue(limits, 0)
    for server in SERVERS:
        queue.enqueue(record(server), is_urgent=server == 's9')
    (first,) = queue.take(1, 0, urgent_only=False)
    assert first.server == 's9'
    several = [record(server) for server in SERVERS]
    several[7] = replace(several[7], state=ServerState.LOST)
    assert backends.limit_total_size(several, 300) == (several[7],)


@PROFILE
@given(st.integers(0, 9), st.integers(0, 12), st.floats(0, 0.999))
def test_targets_are_different_hosts(count, host_count, drawn):
    """A message sent twice to a host would miss another."""
    # Guards against repeated targets, which would leave out other hosts.
    hosts = SERVERS[:host_count]
    targets = backends.choose_targets(hosts, count, lambda: drawn)
    assert len(set(targets)) == len(targets) == min(count, host_count)
