"""The tail measurement, shortened."""

from __future__ import annotations

from boragespool.bench.tail import measure
from boragespool.bench.tail_variants import OUTAGES, Variant
from boragespool.settings import HedgingSettings


def test_hedging_meets_the_tail_goals():
    """A slower tail or more load than the goals of section 4.4 allow."""
    hedged = measure(Variant(HedgingSettings()), None, 500)
    plain = measure(Variant(HedgingSettings(quantile=1)), None, 500)
    assert hedged.p99_s <= plain.p99_s * 0.35
    assert hedged.load <= 1.05
    assert hedged.worst_load <= 1.1
    assert hedged.coverage >= plain.coverage


def test_load_stays_bounded_when_replicas_fall_silent():
    """Hedges of an outage must not reach 1.10 requests per shard."""
    outage = OUTAGES['one replica of each shard is silent']
    lost = measure(Variant(HedgingSettings()), outage, 500)
    assert lost.worst_load <= 1.1
    assert lost.coverage > 0.99
