"""Choice of servers for work, early refusal, and limits on second attempts."""

from __future__ import annotations

from boragespool.routing.admission import refusal_wait_s
from boragespool.routing.assignment import DispatcherAssignment
from boragespool.routing.budget import TokenBudget
from boragespool.routing.eligibility import eligible_holdings
from boragespool.routing.fingerprints import fingerprint_of
from boragespool.routing.hedging import LatencyTracker, hedge_delay_s
from boragespool.routing.observations import ServerObservations
from boragespool.routing.rendezvous import dispatcher_of, highest_weight_hosts
from boragespool.routing.replicas import choose_replica

__all__ = (
    'DispatcherAssignment',
    'LatencyTracker',
    'ServerObservations',
    'TokenBudget',
    'choose_replica',
    'dispatcher_of',
    'eligible_holdings',
    'fingerprint_of',
    'hedge_delay_s',
    'highest_weight_hosts',
    'refusal_wait_s',
)
