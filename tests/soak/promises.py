"""What callers and backend servers may see, checked while the soak runs."""

from __future__ import annotations

import hashlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field

PROMISED_NOT_RUN = (408, 421, 429, 503)


def body_of(server, request_id):
    """Return the only right body of a server's answer to a request."""
    return hashlib.sha256(f'{server} {request_id}'.encode()).digest()


@dataclass
class Promises:
    """Records what was seen; `broken` lists violations."""

    runs: dict = field(default_factory=lambda: defaultdict(list))
    broken: list = field(default_factory=list)
    outcomes: Counter = field(default_factory=Counter)
    draining_since_s: dict = field(default_factory=dict)
    versions: list = field(default_factory=list)
    refused: set = field(default_factory=set)

    def ran(self, server, service, request_id, now_s, sound_since_s):
        """Note that a server began to run a request."""
        self.runs[request_id].append(server)
        if request_id.startswith('once-'):
            if len(self.runs[request_id]) > 1:
                self._break(f'{request_id} ran at {self.runs[request_id]}')
            if request_id in self.refused:
                self._break(f'{request_id} ran after a refusal')
        left_s = self.draining_since_s.get(server)
        bound_s = max(left_s or 0, sound_since_s) + 3 if left_s else None
        if bound_s is not None and now_s > bound_s:
            self._break(f'{server} drains since {left_s:.1f}, got work')

    def answered(self, request_id, status, fields, body, shards):
        """Check a final answer that a caller got."""
        self.outcomes[status] += 1
        if status in PROMISED_NOT_RUN:
            self.refused.add(request_id)
            if request_id.startswith('once-') and self.runs[request_id]:
                self._break(f'{request_id} got {status} but ran')
        if status != 200:
            return
        if request_id.startswith('once-'):
            server = fields.get('response-signature', '').partition(' ')[0]
            if body != body_of(server, request_id):
                self._break(f'{request_id} got a body of something else')
            return
        self._check_gathered(request_id, fields, body, shards)

    def _check_gathered(self, request_id, fields, body, shards):
        stamps = fields.get('shard-stamps', '').split(', ')
        missing = int(fields.get('shards-missing', 0))
        servers = [stamp.partition(' ')[0] for stamp in stamps]
        services = {server.rpartition('-')[0] for server in servers}
        if any(not stamp.endswith(f' {request_id}') for stamp in stamps):
            self._break(f'{request_id} holds a foreign part: {stamps}')
        if len(services) != len(servers):
            self._break(f'{request_id} holds a shard twice: {stamps}')
        if not any(
            services <= known and len(known) == len(services) + missing
            for known in map(set, shards)
        ):
            self._break(f'{request_id} mixes shard sets: {stamps}, {missing}')
        records = [
            answer[start : start + 16]
            for answer in (body_of(s, request_id) for s in servers)
            for start in (0, 16)
        ]
        if body != b''.join(sorted(records, reverse=True)[:3]):
            self._break(f'{request_id} holds wrong records')

    def broke_off(self, request_id, reason, *, is_excused):
        """Note a connection that ended without an answer."""
        self.outcomes[reason] += 1
        if not is_excused:
            self._break(f'{request_id} got no answer: {reason}')

    def _break(self, text):
        self.broken.append(text)
