"""Requests to a shard of which one server is slow, in virtual time."""

from __future__ import annotations

import pytest

from boragespool.forwarding import (
    Candidate,
    Locality,
    ServerLoad,
    choose_server,
)

MEAN_S = 0.025
SLOW_FACTOR = 8
INTERVAL_S = 0.3
#: Time after which the caller of the shard goes on without it.
ABANDON_S = 0.15
REMOTE_ROUND_TRIP_S = 0.016


def play(duration_s, service_s_at):
    """Send a request each `INTERVAL_S`; return those at the near server.

    Parameters
    ----------
    service_s_at : callable
        Returns the service time of the near server at a time, in seconds.

    Returns
    -------
    list of float
        Times at which the near server was asked.
    """
    near = ServerLoad(slots=3)
    far = ServerLoad(slots=3, round_trip_s=REMOTE_ROUND_TRIP_S)
    candidates = [
        Candidate('near', near, Locality.DATA_CENTRE, has_capacity=True),
        Candidate('far', far, Locality.ELSEWHERE, has_capacity=True),
    ]
    asked = []
    for number in range(int(duration_s / INTERVAL_S)):
        now_s = number * INTERVAL_S
        chosen = choose_server(candidates, MEAN_S, now_s, 0.5)
        chosen.load.start_attempt(number, now_s)
        if chosen.server == 'far':
            took_s = REMOTE_ROUND_TRIP_S + MEAN_S
            far.complete_attempt(number, MEAN_S, now_s + took_s)
            continue
        asked.append(now_s)
        took_s = service_s_at(now_s)
        if took_s > ABANDON_S:
            near.abandon_attempt(number, MEAN_S, now_s + ABANDON_S)
        else:
            near.complete_attempt(number, MEAN_S, now_s + took_s)
    return asked


def test_server_that_stays_slow_is_tried_ever_less():
    """A server that stays slow must get few of the requests.

    Each request at it leaves its shard out of the answer. With a fixed memory
    of 1.5 s it was asked again after a second, for as long as it was slow.
    """
    asked = play(24, lambda _: MEAN_S * SLOW_FACTOR)
    assert len(asked) <= 12
    gaps_s = [later - earlier for earlier, later in zip(asked, asked[1:])]
    assert gaps_s[-1] >= 3


@pytest.mark.parametrize('slow_s', [4, 8])
def test_server_that_recovered_is_used_again(slow_s):
    """A server must be used again soon after it is no longer slow.

    Requests to other regions cost latency and traffic.
    """
    asked = play(
        slow_s + 12,
        lambda now_s: MEAN_S * (SLOW_FACTOR if now_s < slow_s else 1),
    )
    assert min(at_s for at_s in asked if at_s >= slow_s) <= slow_s + 6
    late = [at_s for at_s in asked if at_s >= slow_s + 8]
    assert len(late) >= 12


def test_attempts_in_one_pause_count_once():
    """Several attempts that one pause delays must not count as slow often.

    A server that pauses for a moment is sound afterwards.
    """
    load = ServerLoad(slots=3)
    for attempt in range(5):
        load.start_attempt(attempt, attempt * 0.01)
    for attempt in range(5):
        load.complete_attempt(attempt, MEAN_S, 0.3)
    assert load.slow_count == 1
