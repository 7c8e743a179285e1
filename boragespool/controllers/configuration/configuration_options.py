"""Options of the configuration controller."""

from __future__ import annotations

from dataclasses import dataclass, field

from boragespool.controllers.configuration.host_list import HostListOptions
from boragespool.types import Seconds


@dataclass(frozen=True, slots=True)
class ConfigurationOptions:
    """Intervals, timeouts and limits of the configuration controller.

    Attributes
    ----------
    watch_wait_s : float
        Timeout of one long-polling watch of the store, in seconds.
    min_watch_interval_s : float
        Minimum time between the starts of two watches without a change, in
        seconds, so that a store that answers at once is not called in a tight
        loop.
    role_update_delay_s : float
        Delay in seconds after a change of member records until the daemon
        decides again whether to watch and to fetch. Changes within this time
        are processed together.
    peer_timeout_s : float
        Timeout of a request to a peer, in seconds.
    backoff_first_s, backoff_limit_s : float
        Delay after the first failed call, and the maximum delay, in seconds.
    fetch_candidate_count : int
        Number of peers with the newest revisions from which one is chosen at
        random, so that not all daemons fetch from the same peer.
    first_read_window_s : float
        While no peer has a revision, the first read of the store waits for a
        random part of this time, in seconds, so that daemons that start at
        the same moment do not read the store at the same time. If many parts
        are missing, they are read only after the whole time. 0 disables the
        delay.
    max_store_part_count : int
        Maximum number of missing parts that a watcher reads from the store
        without asking peers first. A usual change has no more parts than
        this, and peers do not have them yet. While no revision is in force,
        peers are asked first for any number of parts.
    host_list : HostListOptions
        Intervals, timeouts and limits of the host list.
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
