"""Tail latency goals of section 4.4, with short runs."""

from __future__ import annotations

from boragespool.bench.tail import measure
from boragespool.bench.tail_variants import OUTAGES, Variant
from boragespool.settings import HedgingSettings


def test_hedging_meets_the_tail_goals():
    """Hedging must cut the 99th percentile within the allowed extra load.

    Hedges sent too late leave the tail slow, and hedges sent too early add
    more load than section 4.4 allows.
    """
    hedged = measure(Variant(HedgingSettings()), None, 500)
    plain = measure(Variant(HedgingSettings(quantile=1)), None, 500)
    assert hedged.p99_s <= plain.p99_s * 0.35
    assert hedged.load <= 1.05
    assert hedged.worst_load <= 1.1
    assert hedged.coverage >= plain.coverage


def test_load_stays_bounded_when_replicas_fall_silent():
    """Hedges must stay within 1.10 requests per shard in an outage.

    While replicas are silent every request to them is late, so an unlimited
    hedge per late request would multiply the load.
    """
    outage = OUTAGES['one replica of each shard is silent']
    with_outage = measure(Variant(HedgingSettings()), outage, 500)
    assert with_outage.worst_load <= 1.1
    assert with_outage.coverage > 0.99
