"""Overload goals of section 4.3 in virtual time, with short floods."""

from __future__ import annotations

from boragespool.bench.flood import measure, rush, urgent_flood
from boragespool.bench.flood_simulation import Load


def shorten(load):
    """Return a load with its flood limited to three seconds."""
    return Load(load.base, load.flood, begin_s=2, end_s=5, stop_s=8)


def test_deferrable_flood_does_not_delay_urgent_work():
    """A flood of deferrable work must not delay urgent work.

    In a queue without ranks the urgent work waits behind the flood. Slots
    spent on work that misses its deadline are wasted as well.
    """
    load = shorten(rush(10))
    result = measure('ranks', load)
    assert result.urgent_success >= 0.999
    assert result.urgent_p99_ratio <= 1.5
    assert result.useful >= 0.9
    assert result.recovery_s <= 5
    assert measure('fifo', load).urgent_success < 0.5


def test_floors_do_not_delay_urgent_work_below_its_goal():
    """Floors must give way while urgent demand is below 0.8 of capacity.

    Slots reserved for lower ranks would delay urgent work beyond its goal.
    """
    result = measure('ranks', rush(10, 0.79))
    assert result.urgent_success >= 0.999
    assert result.urgent_p99_ratio <= 1.5
    assert result.useful >= 0.9


def test_urgent_flood_leaves_the_floors():
    """A flood of urgent work must not starve the lower ranks.

    Without floors they get no slots, and urgent work that misses its
    deadline would waste those that it takes.
    """
    result = measure('ranks', shorten(urgent_flood(10)))
    assert 0.18 <= result.shares[1] <= 0.22
    assert 0.09 <= result.shares[2] <= 0.11
    assert result.useful >= 0.9
    assert result.recovery_s <= 5
