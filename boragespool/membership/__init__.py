"""Gossip membership of the daemons, as pure functions without I/O.

Covers the member table, merging of received records, failure detection,
dissemination of changes and the choice of daemon addresses for callers.
"""

from __future__ import annotations

from boragespool.membership.addresses import choose_addresses
from boragespool.membership.composing import compose_message
from boragespool.membership.detection import (
    PingRound,
    choose_random_hosts,
    next_target,
    suspicion_timeout_s,
)
from boragespool.membership.health import (
    scale_timeouts,
    score_after_suspicion,
    score_after_tick,
)
from boragespool.membership.merging import (
    merge_records,
    precedence,
    precedence_changed,
    refute,
)
from boragespool.membership.options import MembershipOptions
from boragespool.membership.receiving import merge_message
from boragespool.membership.spreading import Rumour, choose_records, send_count
from boragespool.membership.table import (
    MemberTable,
    all_records_by_host,
    clear_leaving_suspicion,
    expire_members,
    restart_suspicion_timers,
    suspect,
    update_own_record,
)
from boragespool.membership.view import is_kept

__all__ = (
    'MemberTable',
    'MembershipOptions',
    'PingRound',
    'Rumour',
    'all_records_by_host',
    'choose_addresses',
    'choose_random_hosts',
    'choose_records',
    'clear_leaving_suspicion',
    'compose_message',
    'expire_members',
    'is_kept',
    'merge_message',
    'merge_records',
    'next_target',
    'precedence',
    'precedence_changed',
    'refute',
    'restart_suspicion_timers',
    'scale_timeouts',
    'score_after_suspicion',
    'score_after_tick',
    'send_count',
    'suspect',
    'suspicion_timeout_s',
    'update_own_record',
)
