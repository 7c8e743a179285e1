"""Randomised test of queries while holdings, states and replies change."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.bench.fake_fleet import (
    FakeFleet,
    correct_reply,
    refuse_with,
    shard_range,
)
from boragespool.bench.virtual_time import run_in_virtual_time
from boragespool.controllers.queries.query import QueryController
from boragespool.messages import Holding
from boragespool.results import Failure, ResultCode
from boragespool.types import KEY_SPACE_SIZE, RunState, ServerState
from tests.query_cases import SMALL_FLEET, query, replicas, set_behaviour


class Storm:
    """Simulates servers whose holdings, states and replies change at random."""

    def __init__(self, seed):
        self.random_source = random.Random(seed)
        self.fleet = FakeFleet(replace(SMALL_FLEET, deadline_s=0.3), seed)
        self.fleet.holds = self.holds
        # The held range of each version, by server.
        self.ranges_by_server = {
            name: {1: shard_range(shard, 4)}
            for shard in range(4)
            for name in replicas(shard)
        }
        self.closed_servers = set()
        self.previous_reply = None
        set_behaviour(self.fleet, self.ranges_by_server, self.behave)

    def holds(self, asked):
        """Return whether a server holds the requested version and range."""
        start, end = self.ranges_by_server[asked.server].get(
            asked.version, (0, 0)
        )
        return start <= asked.start and asked.end <= end

    def behave(self, asked):
        """Reply correctly, with a random fault, or not at all."""
        assert asked.server not in self.closed_servers
        if not self.holds(asked):
            return refuse_with(ResultCode.VERSION_NOT_HELD)(asked)
        reply = correct_reply(asked)
        middle = (asked.start + asked.end) // 2
        other_reply, self.previous_reply = self.previous_reply or reply, reply
        return self.random_source.choice(
            [
                *[reply] * 12,
                None,
                other_reply,
                correct_reply(replace(asked, version=asked.version + 1)),
                correct_reply(replace(asked, start=middle)),
                replace(reply, item_count=2),
                replace(reply, end=asked.end + 1),
                refuse_with(ResultCode.SERVER_SHED)(asked),
                refuse_with(ResultCode.SERVER_CLOSED, RunState.UNKNOWN)(asked),
            ]
        )

    async def change(self):
        """Change holdings or states at random moments."""
        for _ in range(25):
            await asyncio.sleep(self.random_source.uniform(0, 0.03))
            name = self.random_source.choice(list(self.ranges_by_server))
            held = self.ranges_by_server[name]
            version = max(held, default=0) + 1
            start, end = shard_range(int(name[1]), 4)
            cut = self.random_source.choice([start, (start + end) // 2])
            held[version] = (cut, end)
            if self.random_source.random() < 0.3:
                held.pop(version - 1, None)
            if self.random_source.random() < 0.1:
                self.fleet.announce(name, state=ServerState.DRAINING)
                asyncio.get_running_loop().call_later(
                    self.fleet.options.one_way_delay_s * 2,
                    self.closed_servers.add,
                    name,
                )
            if self.random_source.random() < 0.7:
                holdings = tuple(
                    Holding(number, (held_range,))
                    for number, held_range in held.items()
                )
                self.fleet.announce(name, holdings=holdings)

    async def query(self, controller, name):
        """Run one query and check its deadline, items and coverage."""
        await asyncio.sleep(self.random_source.uniform(0, 0.4))
        began_s = asyncio.get_running_loop().time()
        answer = await controller.answer(query(name))
        assert asyncio.get_running_loop().time() - began_s <= 0.3
        if isinstance(answer, Failure):
            return 0
        merged = [item.value for item in answer.items]
        assert {value[:2] for value in merged} <= {(name, answer.snapshot)}
        edges = sorted([value[2:] for value in merged] + [*answer.missing])
        assert [start for start, _ in edges] == [
            0,
            *[end for _, end in edges[:-1]],
        ]
        assert edges[-1][1] == KEY_SPACE_SIZE
        keys = sum(value[3] - value[2] for value in merged)
        assert answer.coverage == keys / KEY_SPACE_SIZE
        return answer.coverage

    async def run(self):
        """Run queries during the changes; return their coverages."""
        async with QueryController(self.fleet.context()) as controller:
            change = asyncio.create_task(self.change())
            coverages = await asyncio.gather(
                *[self.query(controller, f'q{n}') for n in range(12)]
            )
            await change
        return coverages


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.integers(0, 2**32))
def test_answers_stay_true_in_a_storm_of_changes(seed):
    """Mixed answers, false coverage, late answers or work for leaving servers.

    Replies are crossed, truncated or wrong while holdings change.
    """
    # Guards against these four failures. `Storm.behave` asserts that closed
    # servers get no work, `Storm.query` checks each answer.
    coverages = run_in_virtual_time(Storm(seed).run())
    assert max(coverages) > 0
