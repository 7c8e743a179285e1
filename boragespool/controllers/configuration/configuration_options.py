"""Pace of the configuration controller."""

from __future__ import annotations

from dataclasses import dataclass, field

from boragespool.controllers.configuration.host_list import HostListOptions
from boragespool.types import Seconds


@dataclass(frozen=True, slots=True)
class ConfigurationOptions:
    """Pace of the controller.

    Attributes
    ----------
    watch_wait_s : float
        Longest wait of one watch at the store.
    max_store_part_count : int
        Most parts that a watcher reads from the store before it asks peers.
        A usual change has fewer, which peers do not have yet.
    min_watch_interval_s : float
        Shortest time between two watches without news, so that a store that
        answers at once is not called in a tight loop.
    role_update_delay_s : float
        Member records that change within this time are looked at together.
    peer_timeout_s : float
        Longest wait for the document of a peer.
    backoff_first_s, backoff_limit_s : float
        Delays after failed calls.
    fetch_candidate_count : int
        Newest holders among which one is drawn, so that not all daemons
        fetch from the same peer.
    first_read_window_s : float
        While no peer has a revision, the first reads wait for a random part
        of this time, so that daemons that start at the same moment do not
        read the store together.
    """

    watch_wait_s: Seconds = 10
    min_watch_interval_s: Seconds = 0.5
    role_update_delay_s: Seconds = 0.05
    peer_timeout_s: Seconds = 1
    backoff_first_s: Seconds = 0.1
    backoff_limit_s: Seconds = 3
    fetch_candidate_count: int = 8
    first_read_window_s: Seconds = 0
    max_store_part_count: int = 8
    host_list: HostListOptions = field(default_factory=HostListOptions)
