"""The store client against the stand-in platform."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.http import HttpRequest, open_connection
from boragespool.results import Failure, ResultCode
from boragespool.standins.platform import Platform
from boragespool.store import (
    Conflict,
    HostEntry,
    HostState,
    Lease,
    LeaseHeld,
    Missing,
    StoreClient,
    StoredValue,
    Unchanged,
)
from boragespool.types import RunState


def with_store(scenario, timeout_s=0.5):
    """Run a scenario with a stand-in platform and a store client."""

    async def run():
        async with (
            Platform() as platform,
            StoreClient(platform.address, timeout_s) as store,
        ):
            return await scenario(platform, store)

    return asyncio.run(run())


WRITES = st.lists(
    st.tuples(st.sampled_from(['a/b', 'c d']), st.text(), st.integers(0, 3)),
    max_size=12,
)


@settings(derandomize=True, deadline=None, max_examples=40)
@given(writes=WRITES)
def test_writes_follow_compare_and_swap(writes):
    """A racing operator must not overwrite a version that it did not read."""
    # Guards against lost updates: a write succeeds only with the version that
    # is stored.

    async def scenario(platform, store):
        expected_by_key = {}
        for key, value, expected in writes:
            held = expected_by_key.get(key)
            version = held.version if held else 0
            written = await store.put(key, value, expected)
            if expected == version:
                assert written == version + 1
                expected_by_key[key] = StoredValue(key, value, version + 1)
            else:
                assert written == Conflict(key, version)
            latest = await store.get(key)
            assert latest == expected_by_key.get(key, Missing(key))
        assert (
            store.call_count
            == platform.calls_by_kind.total()
            == 2 * len(writes)
        )

    with_store(scenario)


def test_lost_answer_is_unknown_although_the_write_took_effect():
    """Guards against `apply` reporting a failure for a write that took effect.

    If the answer is lost, the write may have run: its state is unknown.
    """

    async def scenario(platform, store):
        platform.control({'lost_answers': 1})
        lost = await store.put('key', 'one', 0)
        assert lost.run is RunState.UNKNOWN
        assert await store.get('key') == StoredValue('key', 'one', 1)
        assert await store.put('key', 'two', 1) == 2

    with_store(scenario)


def test_slow_and_refused_writes_differ():
    """Guards against a false `not_run` for a write.

    A write that timed out may still take effect; only a write of which no byte
    was sent has certainly not run.
    """

    async def scenario(platform, store):
        platform.control({'delay_s': 0.3})
        slow = await store.put('key', 'one', 0)
        assert (slow.code, slow.run) == (
            ResultCode.STORE_UNAVAILABLE,
            RunState.UNKNOWN,
        )
        assert (await store.get('key')).run is RunState.NOT_RUN
        platform.control({'delay_s': 0})
        await asyncio.sleep(0.3)
        assert await store.get('key') == StoredValue('key', 'one', 1)

    async def unreachable():
        async with Platform() as platform:
            gone = platform.address
        async with StoreClient(gone, 0.2) as store:
            refused = await store.put('key', 'one', 0)
            assert refused.run is RunState.NOT_RUN

    with_store(scenario, timeout_s=0.1)
    asyncio.run(unreachable())


def test_down_platform_closes_without_an_answer():
    """Guards against calls that hang in an outage or fail after it.

    The switch `down` of the stand-in closes connections without an answer.
    """

    async def scenario(platform, store):
        platform.control({'down': True})
        assert isinstance(await store.hosts(), Failure)
        assert (await store.put('k', 'v', 0)).run is RunState.UNKNOWN
        platform.control({'down': False})
        assert await store.get('k') == Missing('k')
        assert platform.calls_by_kind == {'hosts': 1, 'put': 1, 'get': 1}

    with_store(scenario)


def test_value_limit():
    """Guards against values over 1 MB without a specific result code.

    The limit counts the value, not its longer JSON encoding.
    """

    async def scenario(platform, store):
        refused = await store.put('key', 'x' * 1_000_001, 0)
        assert refused.code is ResultCode.VALUE_TOO_LARGE
        assert await store.put('key', '"' * 1_000_000, 0) == 1

    with_store(scenario, timeout_s=5)


def test_watch_waits_for_a_newer_version():
    """Guards against watches that miss a write or never end.

    A watch must return a newer version at once, end unchanged at its timeout,
    and fail in an outage.
    """

    async def scenario(platform, store):
        assert await store.watch('key', 0, 0.05) == Unchanged('key', 0)
        watching = [
            asyncio.create_task(store.watch('key', 0, 5)) for _ in '1234'
        ]
        await asyncio.sleep(0.05)
        async with asyncio.timeout(1):
            assert await store.put('key', 'one', 0) == 1
            for watch in watching:
                assert await watch == StoredValue('key', 'one', 1)
        assert await store.watch('key', 1, 0.05) == Unchanged('key', 1)
        cut = asyncio.create_task(store.watch('key', 1, 5))
        await asyncio.sleep(0.05)
        platform.control({'down': True})
        async with asyncio.timeout(1):
            assert isinstance(await cut, Failure)

    with_store(scenario)


def test_host_list_lags():
    """Guards against a stand-in whose host list changes without its lag.

    Membership tests rely on a host list that is updated with a delay.
    """

    async def scenario(platform, store):
        entry = HostEntry('a', HostState.LEAVING, 'north', '127.0.0.1:1')
        refused = platform.control({'hosts': [{'bad': 1}]})
        assert refused.code is ResultCode.MALFORMED_BODY
        platform.control({'hosts_lag_s': 0.2})
        platform.control({'hosts': [msgspec.to_builtins(entry)]})
        assert await store.hosts() == ()
        await asyncio.sleep(0.25)
        assert await store.hosts() == (entry,)

    with_store(scenario)


def test_leases_expire():
    """Guards against a paused process that holds its lease for ever."""

    async def scenario(platform, store):
        assert await store.lease('l', 'a', 0.1) == Lease('l', 'a', 0.1)
        held = await store.lease('l', 'b', 0.1)
        assert isinstance(held, LeaseHeld)
        assert held.holder == 'a'
        await asyncio.sleep(0.12)
        assert await store.lease('l', 'b', 0.1) == Lease('l', 'b', 0.1)

    with_store(scenario)


@pytest.mark.parametrize('body', [b'{', b'{"slow": 1}', b'{"delay_s": "x"}'])
def test_bad_switches_are_refused(body):
    """Guards against tests that inject no failure.

    The stand-in must refuse misspelt switches and invalid values.
    """

    async def scenario(platform, store):
        async with await open_connection(platform.address, 1) as connection:
            response = await connection.exchange(
                HttpRequest('POST', '/v1/control', body),
                1,
            )
        assert response.status == 400

    with_store(scenario)
