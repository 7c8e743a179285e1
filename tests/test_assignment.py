"""Step-by-step assignment of dispatchers."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.messages import MemberRecord
from boragespool.routing import DispatcherAssignment, dispatcher_of
from boragespool.types import MemberStatus

SITES = st.sampled_from(['north', 'centre', 'south'])
CANDIDATES = st.dictionaries(st.sampled_from('abcdefg'), SITES)
SERVERS = st.dictionaries(st.sampled_from([f's{n}' for n in range(9)]), SITES)


@settings(derandomize=True, max_examples=400)
@given(st.lists(st.tuples(SERVERS, CANDIDATES), max_size=8))
def test_steps_agree_with_the_full_computation(steps):
    """Two daemons that saw different histories must agree on dispatchers."""
    assignment = DispatcherAssignment()
    for site_by_server, site_by_host in steps:
        assignment.set_servers(site_by_server)
        assignment.set_candidates(site_by_host)
        members = {
            host: MemberRecord(
                host, 1, 1, MemberStatus.ALIVE, site, 'region', '', ''
            )
            for host, site in site_by_host.items()
        }
        for server, site in site_by_server.items():
            expected = dispatcher_of(server, site, members)
            assert assignment.dispatcher(server) == expected
        assert 'unknown' not in assignment
