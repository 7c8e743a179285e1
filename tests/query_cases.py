"""Requests and fake fleets for the tests of the query controller."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from boragespool.bench.fake_fleet import FleetOptions
from boragespool.bench.virtual_time import run_in_virtual_time
from boragespool.controllers.queries.query import QueryController
from boragespool.controllers.requests import QueryRequest
from boragespool.settings import HedgingSettings

SMALL_FLEET = FleetOptions(shard_count=4)
NO_HEDGES = replace(SMALL_FLEET, hedging=HedgingSettings(quantile=1))


def query(name='q', deadline_s=1.0, body=b'{}'):
    """Return a query request as the API for callers passes it on."""
    return QueryRequest(name, 'find', 'caller', body, deadline_s)


def run_queries(fleet, *requests, warmup_count=0):
    """Run queries one after the other in virtual time.

    Parameters
    ----------
    fleet : FakeFleet
        Backend servers and their dispatchers.
    *requests : QueryRequest
        Queries to run.
    warmup_count : int
        Number of queries to run before; `fleet.requests_by_server` and
        `fleet.requests` do not include them.

    Returns
    -------
    list of (QueryAnswer or Failure, float)
        Answer to each request and the time that it took, in seconds.
    """

    async def run():
        loop = asyncio.get_running_loop()
        results = []
        async with QueryController(fleet.context()) as controller:
            for number in range(warmup_count):
                await controller.answer(query(f'warm{number}'))
            fleet.requests_by_server.clear()
            fleet.requests.clear()
            for request in requests:
                began_s = loop.time()
                answer = await controller.answer(request)
                results.append((answer, loop.time() - began_s))
            await asyncio.sleep(0.01)
            assert controller.in_flight == 0
        return results

    return run_in_virtual_time(run())


def replicas(shard):
    """Return the names of the servers that hold a shard."""
    return [f's{shard}r{replica}' for replica in range(3)]


def set_behaviour(fleet, servers, behaviour):
    """Set the behaviour of some servers."""
    fleet.behaviour_by_server.update(dict.fromkeys(servers, behaviour))
