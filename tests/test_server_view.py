"""States of all servers at one daemon, derived from all signs of leaving."""

from __future__ import annotations

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st

from boragespool.blackboard.topics import ServerObservation
from boragespool.controllers.backend_servers.server_view import (
    ServerView,
    ViewSources,
)
from boragespool.messages import ServerRecord
from boragespool.types import ServerState
from tests.fake_backend import document

SERVING, DRAINING = ServerState.SERVING, ServerState.DRAINING
RECORD = ServerRecord('s', 'v', 'north', 'b', 5, 9, 1, SERVING, 1)


def refresh_view(view, configured, records, changed):
    """Refresh a view without observations."""
    sources = ViewSources(configured, records, {}, frozenset(), 0)
    view.refresh(sources, changed)
    return view.by_server


def test_view_disregards_reports_about_most_servers():
    """Guards against a service that is left without serving servers.

    Reports that most servers drain are taken as false and ignored.
    """
    configured = document({'x': 'a:1', 'y': 'a:2', 'z': 'a:3'}).settings
    records = {
        name: dataclasses.replace(RECORD, server=name, state=DRAINING)
        for name in 'xy'
    }
    view = ServerView()
    by_server = refresh_view(view, configured, records, ())
    assert {each.state for each in by_server.values()} == {SERVING}
    records['y'] = dataclasses.replace(RECORD, server='y')
    by_server = refresh_view(view, configured, records, 'y')
    assert by_server['x'].state == DRAINING


NAMES = 'uvwxyz'
VIEW_STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('record'),
            st.sampled_from(NAMES),
            st.sampled_from(ServerState),
        ),
        st.tuples(st.just('drained'), st.sampled_from(NAMES), st.booleans()),
        st.tuples(
            st.just('leaving'),
            st.just(''),
            st.frozensets(st.sampled_from([f'host-{name}' for name in NAMES])),
        ),
        st.tuples(st.just('reply'), st.sampled_from('uv'), st.just(None)),
        st.tuples(st.just('wait'), st.just(''), st.sampled_from((1, 6))),
    ),
    max_size=20,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(VIEW_STEPS)
def test_steps_of_the_view_agree_with_a_whole_one(steps):
    """A step that misses a sign would send work to a leaving server."""
    # Guards against an incremental refresh that differs from a view built from
    # scratch.
    addresses = {name: f'a:{place}' for place, name in enumerate(NAMES, 1)}
    options = {name: {'drained': False} for name in NAMES}
    known = {
        name: dataclasses.replace(RECORD, server=name) for name in NAMES[1:]
    }
    sources = ViewSources(
        document(addresses, **options).settings, known, {}, frozenset(), 0
    )
    view = ServerView()
    view.refresh(sources, ())
    for kind, name, value in steps:
        now_s = sources.now_s + (value if kind == 'wait' else 0)
        if kind == 'record':
            record = dataclasses.replace(RECORD, server=name, state=value)
            records = {**sources.records, name: record}
            sources = dataclasses.replace(sources, records=records)
        elif kind == 'drained':
            options[name] = {'drained': value}
            changed = document(addresses, **options).settings
            sources = dataclasses.replace(sources, settings=changed)
        elif kind == 'leaving':
            sources = dataclasses.replace(sources, leaving_hosts=value)
        elif kind == 'reply':
            seen = ServerObservation(1, draining_at_s=now_s)
            observations = {**sources.observations, name: seen}
            sources = dataclasses.replace(sources, observations=observations)
        sources = dataclasses.replace(sources, now_s=now_s)
        before = view.by_server
        updates = view.refresh(sources, (name,))
        whole = ServerView()
        whole.refresh(sources, ())
        assert view.by_server == whole.by_server == {**before, **updates}
