"""Model test of gossip over a network that loses, delays and reorders."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from boragespool import membership
from boragespool.membership import MembershipOptions, MemberTable, PingRound
from boragespool.types import MemberStatus
from tests.member_records import record

OPTIONS = MembershipOptions(suspicion_s=3, dead_keep_s=60, remote_count=2)
HOSTS = tuple(f'h{n}' for n in range(6))
MAX_DELAY_S = 20
DETECTION_S = 25
hosts = st.sampled_from(HOSTS)


@dataclass
class Node:
    """State of one simulated daemon."""

    table: MemberTable
    order: PingRound = PingRound()
    is_paused: bool = False
    #: Unanswered pings by host: the pinged record and the number of attempts.
    probes: dict = field(default_factory=dict)


class Gossiping(RuleBasedStateMachine):
    """Checks the tables of all nodes against what really happened."""

    @initialize(seed=st.integers(0, 9999))
    def start(self, seed):
        self.source = random.Random(seed)
        self.now_s = 0
        # Messages in transit: send time, sender, target, kind and records.
        self.bag = []
        self.nodes = {}
        self.leaving = set()
        # (observer, host, incarnation) of each leaving record delivered.
        self.told_leaving = set()
        # Highest incarnation seen, by observer and host.
        self.highest = {}
        self.incarnation = 0
        for host in HOSTS:
            self.launch(host)

    def launch(self, host):
        self.incarnation += 1
        centre = ('north', 'south')[int(host[1:]) % 2]
        own = record(host, data_centre=centre, incarnation=self.incarnation)
        self.nodes[host] = Node(MemberTable(own))
        self.leaving.discard(host)
        self.told_leaving = {t for t in self.told_leaving if t[0] != host}
        self.highest = {
            key: seen for key, seen in self.highest.items() if key[0] != host
        }

    @rule(host=hosts)
    def crash_or_restart(self, host):
        if host not in self.nodes:
            self.launch(host)
        elif len(self.nodes) > 3:
            del self.nodes[host]

    @rule(host=hosts)
    def pause_or_continue(self, host):
        node = self.nodes.get(host)
        if node is None:
            return
        node.is_paused = not node.is_paused
        if not node.is_paused:
            node.table = membership.restart_suspicion_timers(
                node.table, self.now_s
            )
            node.probes.clear()

    @rule(host=hosts)
    def leave(self, host):
        node = self.nodes.get(host)
        if node is None or node.is_paused or host in self.leaving:
            return
        self.leaving.add(host)
        own = node.table.own
        left = replace(own, status=MemberStatus.LEAVING, beat=own.beat + 1)
        node.table = membership.update_own_record(
            node.table, left, self.now_s, OPTIONS
        )

    @rule(steps=st.integers(1, 12), loss=st.sampled_from((0, 0.2, 0.9)))
    def run(self, steps, loss):
        for _ in range(steps):
            self.step(loss, late=0.3)

    @rule()
    def settle(self):
        """Without losses every node learns the truth within a bound."""
        for node in self.nodes.values():
            if node.is_paused:
                node.is_paused = False
                node.table = membership.restart_suspicion_timers(
                    node.table, self.now_s
                )
                node.probes.clear()
        for _ in range(DETECTION_S):
            self.step(loss=0, late=0)
        for host, node in self.nodes.items():
            for other, known in node.table.members_by_host.items():
                expected = self.expected_status(other)
                assert known.status == expected, (host, known)
            centre = node.table.own.data_centre
            for other, peer in self.nodes.items():
                if other != host and peer.table.own.data_centre == centre:
                    assert other in node.table.members_by_host, (host, other)

    def expected_status(self, host):
        if host not in self.nodes:
            return MemberStatus.DEAD
        if host in self.leaving:
            return MemberStatus.LEAVING
        return MemberStatus.ALIVE

    def step(self, loss, late):
        """One second: deliver in random order, then every node ticks."""
        self.now_s += 1
        for _ in range(3):
            bag, self.bag = self.bag, []
            self.source.shuffle(bag)
            for message in bag:
                self.carry(message, loss, late)
        for host, node in self.nodes.items():
            if not node.is_paused:
                self.tick(host, node)

    def carry(self, message, loss, late):
        sent_s, _, target, *_ = message
        node = self.nodes.get(target)
        if node is not None and node.is_paused:
            self.bag.append(message)
        elif node is None or self.now_s - sent_s > MAX_DELAY_S:
            return
        elif self.source.random() < late:
            self.bag.append(message)
        elif self.source.random() >= loss:
            self.deliver(node, message)

    def deliver(self, node, message):
        _, sender, target, kind, records = message
        node.table = membership.merge_message(
            node.table, records, sender, self.now_s, OPTIONS
        )
        self.told_leaving |= {
            (target, each.host, each.incarnation)
            for each in records
            if each.status == MemberStatus.LEAVING
        }
        if kind == 'ping':
            self.send(node, target, sender, 'ack')
        else:
            node.probes.pop(sender, None)
            node.table = membership.clear_leaving_suspicion(node.table, sender)

    def send(self, node, sender, target, kind):
        records, node.table = membership.compose_message(
            node.table, target, OPTIONS
        )
        self.bag.append((self.now_s, sender, target, kind, records))

    def tick(self, host, node):
        for target, (tested, attempts) in tuple(node.probes.items()):
            if attempts == 3:
                del node.probes[target]
                node.table = membership.suspect(
                    node.table, tested, self.now_s, OPTIONS
                )
            else:
                node.probes[target] = (tested, attempts + 1)
            self.send(node, host, target, 'ping')
        node.table = membership.expire_members(node.table, self.now_s, OPTIONS)
        live = frozenset(
            other
            for other, known in node.table.members_by_host.items()
            if known.status != MemberStatus.DEAD
        )
        target, node.order = membership.next_target(
            node.order, live, self.source.random
        )
        if target is not None:
            tested = node.table.members_by_host[target]
            node.probes.setdefault(target, (tested, 1))
            self.send(node, host, target, 'ping')
        if self.now_s % 4 == 0:
            seed = self.source.choice(HOSTS)
            if seed != host and seed not in live:
                self.send(node, host, seed, 'ping')

    @invariant()
    def lower_incarnation_never_wins(self):
        for host, node in getattr(self, 'nodes', {}).items():
            for other, known in node.table.members_by_host.items():
                seen = self.highest.get((host, other), 0)
                assert known.incarnation >= seen
                self.highest[host, other] = known.incarnation

    @invariant()
    def leaving_member_is_in_no_address_answer(self):
        for host, node in getattr(self, 'nodes', {}).items():
            everyone = membership.all_records_by_host(node.table)
            answer = membership.choose_addresses(
                everyone.values(),
                'north',
                len(HOSTS),
                self.source.random,
                frozenset(),
            )
            for address in answer:
                told = (host, address, everyone[address].incarnation)
                assert told not in self.told_leaving


Gossiping.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
)
TestGossiping = Gossiping.TestCase
