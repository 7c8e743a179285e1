"""Cached dispatchers and query plans of a merger."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.bench.fake_fleet import FakeFleet, FleetOptions
from boragespool.blackboard.topics import DOCUMENT_IN_FORCE, MEMBERS, SERVERS
from boragespool.controllers.queries.fleet_view import FleetView
from boragespool.routing import dispatcher_of
from boragespool.types import MemberStatus, ServerState

HOSTS = tuple(f'host{number}' for number in range(6))
CHANGES = st.lists(
    st.tuples(
        st.sampled_from(HOSTS),
        st.sampled_from(MemberStatus),
        st.sampled_from(['dc', 'other']),
    ),
    max_size=12,
)


@settings(derandomize=True, deadline=None)
@given(CHANGES)
def test_dispatchers_are_never_stale(changes):
    """Guards against work that is sent to a former dispatcher of a server.

    The view caches dispatchers. If a change of the members did not update
    them, such work would wait for a timeout.
    """
    fleet = FakeFleet(FleetOptions(shard_count=4), 1)
    view = FleetView(fleet.board)
    for number, name in enumerate(fleet.board.read(SERVERS)):
        fleet.announce(name, data_centre='dc' if number % 2 else 'third')
    for host, status, data_centre in changes:
        members = fleet.board.read(MEMBERS)
        changed = replace(members[host], status=status, data_centre=data_centre)
        fleet.board.post(MEMBERS, {**members, host: changed})
        for name, record in fleet.board.read(SERVERS).items():
            assert view.dispatcher(name) == dispatcher_of(
                name, record.data_centre, fleet.board.read(MEMBERS)
            )


def test_catalogue_is_built_again_only_when_holdings_change():
    """Guards against replanning the whole fleet for every announcement.

    Most announcements only change the limit of a server, and must not replace
    the catalogue. A change of the state must.
    """
    fleet = FakeFleet(FleetOptions(shard_count=4), 1)
    view = FleetView(fleet.board)
    service = fleet.board.read(DOCUMENT_IN_FORCE).settings.services['search']
    first = view.catalogue('search', service)
    fleet.announce('s0r0', limit=1, sequence=2)
    assert view.catalogue('search', service) is first
    fleet.announce('s0r0', state=ServerState.DRAINING)
    later = view.catalogue('search', service)
    assert 's0r0' not in later.plans_by_version[1][0].replicas
