"""Prometheus metrics of a daemon, served at ``/metrics``."""

from __future__ import annotations

from typing import Final

from prometheus_client import Counter, Gauge, Histogram

_LATENCY_BUCKETS_S: Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.39,
    0.8,
    2,
    5,
)

REQUESTS: Final = Counter(
    'boragespool_requests_total',
    'Requests of callers by form (query or claim), rank and result code.',
    ('form', 'rank', 'code'),
)
REQUEST_LATENCY: Final = Histogram(
    'boragespool_request_seconds',
    'Time from the receipt of a complete request to its answer.',
    ('form', 'rank'),
    buckets=_LATENCY_BUCKETS_S,
)
FORWARDED_REQUESTS: Final = Counter(
    'boragespool_forwarded_total',
    'Forwarded requests by priority and outcome.',
    ('priority', 'outcome'),
)
FORWARD_LATENCY: Final = Histogram(
    'boragespool_forward_seconds',
    'Time from the receipt of a complete request to its final answer, by '
    'priority.',
    ('priority',),
    buckets=_LATENCY_BUCKETS_S,
)
FORWARD_WAITS: Final = Counter(
    'boragespool_forward_waits_total',
    'Calls for which no backend server had a free slot, by priority and '
    'outcome.',
    ('priority', 'outcome'),
)
SERVER_CHECKS: Final = Counter(
    'boragespool_server_checks_total',
    'Checks of backend servers that closed connections without a response, '
    'by result: lost, in_use or skipped.',
    ('result',),
)
CLEARED_SUSPECTS: Final = Counter(
    'boragespool_cleared_suspects_total',
    'Successes of requests that may have crashed a backend server.',
)
LIMITED_ATTEMPTS: Final = Counter(
    'boragespool_limited_attempts_total',
    'Attempts sent to backend servers that name a rate limit.',
)
BLOCKED_FINGERPRINTS: Final = Gauge(
    'boragespool_blocked_fingerprints',
    'Fingerprints of requests that are refused because they crash servers.',
)
COVERAGE: Final = Histogram(
    'boragespool_coverage_ratio',
    'Coverage of answered queries.',
    buckets=(0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1),
)
ATTEMPTS: Final = Counter(
    'boragespool_attempts_total',
    'Attempts sent to dispatchers by kind: first, hedge, retry, restart.',
    ('kind',),
)
ADMITTED_RATIO: Final = Gauge(
    'boragespool_admitted_ratio',
    'Share of the requests of callers that the daemon admits, by rank.',
    ('rank',),
)
LOOP_LATENESS: Final = Gauge(
    'boragespool_loop_lateness_seconds',
    'Mean event loop delay that the work of the daemon itself caused.',
)
CONFIGURATION_REVISION: Final = Gauge(
    'boragespool_revision_in_force',
    'Configuration revision in force.',
)
PEER_FRAMES: Final = Counter(
    'boragespool_peer_frames_total',
    'Frames sent to other daemons.',
)
PEER_BYTES: Final = Counter(
    'boragespool_peer_bytes_total',
    'Bytes of the frames sent to other daemons.',
)
