"""Incremental assignment of dispatchers to backend servers."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.messages import MemberRecord
from boragespool.routing import DispatcherAssignment, dispatcher_of
from boragespool.types import MemberStatus

DATA_CENTRES = st.sampled_from(['north', 'centre', 'south'])
DATA_CENTRES_BY_HOST = st.dictionaries(st.sampled_from('abcdefg'), DATA_CENTRES)
DATA_CENTRES_BY_SERVER = st.dictionaries(
    st.sampled_from([f's{n}' for n in range(9)]), DATA_CENTRES
)


@settings(derandomize=True, max_examples=400)
@given(
    st.lists(
        st.tuples(DATA_CENTRES_BY_SERVER, DATA_CENTRES_BY_HOST), max_size=8
    )
)
def test_steps_agree_with_the_full_computation(steps):
    """Guards against daemons that disagree on the dispatcher of a server.

    Daemons see servers and hosts join and leave in different orders. The
    incremental assignment must not depend on the order, and must give the
    same as `dispatcher_of`, which computes it anew.
    """
    assignment = DispatcherAssignment()
    for data_centre_by_server, data_centre_by_host in steps:
        assignment.set_servers(data_centre_by_server)
        assignment.set_candidates(data_centre_by_host)
        members = {
            host: MemberRecord(
                host, 1, 1, MemberStatus.ALIVE, data_centre, 'region', '', ''
            )
            for host, data_centre in data_centre_by_host.items()
        }
        for server, data_centre in data_centre_by_server.items():
            expected = dispatcher_of(server, data_centre, members)
            assert assignment.dispatcher(server) == expected
        assert 'unknown' not in assignment
