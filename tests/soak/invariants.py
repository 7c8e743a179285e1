"""Invariants of callers and backend servers, checked during the soak."""

from __future__ import annotations

import hashlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field

#: Statuses that state that the request was not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def expected_body(server, request_id):
    """Return the body with which a server answers a request."""
    return hashlib.sha256(f'{server} {request_id}'.encode()).digest()


@dataclass
class Invariants:
    """Records runs and answers of a soak test and checks them.

    Request ids that start with ``once-`` belong to requests that must run at
    most once; all others are gathered from shards.

    Attributes
    ----------
    servers_by_request_id : dict
        Names of the servers that ran each request.
    violations : list of str
        Descriptions of the violated invariants.
    outcomes : Counter
        Number of answers by status and of failures by reason.
    draining_since_s : dict
        Time at which each draining server began to drain, by server name.
    refused : set of str
        Ids of the requests that were answered as not run.
    """

    servers_by_request_id: dict = field(
        default_factory=lambda: defaultdict(list)
    )
    violations: list = field(default_factory=list)
    outcomes: Counter = field(default_factory=Counter)
    draining_since_s: dict = field(default_factory=dict)
    versions: list = field(default_factory=list)
    refused: set = field(default_factory=set)

    def record_run(self, server, service, request_id, now_s, stable_since_s):
        """Record that a server runs a request.

        A draining server may get requests for 3 s after it began to drain,
        or after the system became stable, whichever is later.
        """
        self.servers_by_request_id[request_id].append(server)
        if request_id.startswith('once-'):
            if len(self.servers_by_request_id[request_id]) > 1:
                self._add_violation(
                    f'{request_id} ran more than once, at '
                    f'{self.servers_by_request_id[request_id]}'
                )
            if request_id in self.refused:
                self._add_violation(f'{request_id} ran after a refusal')
        drain_began_s = self.draining_since_s.get(server)
        bound_s = (
            max(drain_began_s or 0, stable_since_s) + 3
            if drain_began_s
            else None
        )
        if bound_s is not None and now_s > bound_s:
            self._add_violation(
                f'{server} draining since {drain_began_s:.1f} got a request'
            )

    def check_answer(self, request_id, status, fields, body, shards):
        """Check the final answer that a caller received."""
        self.outcomes[status] += 1
        if status in NOT_RUN_STATUSES:
            self.refused.add(request_id)
            if (
                request_id.startswith('once-')
                and self.servers_by_request_id[request_id]
            ):
                self._add_violation(
                    f'{request_id} was answered with {status} but ran'
                )
        if status != 200:
            return
        if request_id.startswith('once-'):
            server = fields.get('response-signature', '').partition(' ')[0]
            if body != expected_body(server, request_id):
                self._add_violation(
                    f'{request_id} got the body of another request or server'
                )
            return
        self._check_gathered(request_id, fields, body, shards)

    def _check_gathered(self, request_id, fields, body, shards):
        stamps = fields.get('shard-stamps', '').split(', ')
        missing = int(fields.get('shards-missing', 0))
        servers = [stamp.partition(' ')[0] for stamp in stamps]
        services = {server.rpartition('-')[0] for server in servers}
        if any(not stamp.endswith(f' {request_id}') for stamp in stamps):
            self._add_violation(
                f'{request_id} has a part of another request: {stamps}'
            )
        if len(services) != len(servers):
            self._add_violation(
                f'{request_id} has the same shard twice: {stamps}'
            )
        if not any(
            services <= shard_set and len(shard_set) == len(services) + missing
            for shard_set in map(set, shards)
        ):
            self._add_violation(
                f'{request_id} mixes shard sets: {stamps}, {missing}'
            )
        records = [
            answer[start : start + 16]
            for answer in (expected_body(s, request_id) for s in servers)
            for start in (0, 16)
        ]
        if body != b''.join(sorted(records, reverse=True)[:3]):
            self._add_violation(f'{request_id} has wrong records')

    def record_failure(self, request_id, reason, *, is_excused):
        """Record an exchange without an answer; a violation unless excused."""
        self.outcomes[reason] += 1
        if not is_excused:
            self._add_violation(f'{request_id} got no answer: {reason}')

    def _add_violation(self, message):
        self.violations.append(message)
