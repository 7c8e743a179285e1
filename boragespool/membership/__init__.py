"""Decisions about members: merging, failure detection, spread, addresses."""

from __future__ import annotations

from boragespool.membership.addresses import choose_addresses
from boragespool.membership.composing import compose_message
from boragespool.membership.detection import (
    PingRound,
    choose_random_hosts,
    next_target,
    suspicion_time_s,
)
from boragespool.membership.health import (
    score_after_suspicion,
    score_after_tick,
    scale_timeouts,
)
from boragespool.membership.merging import (
    precedence_changed,
    merge_records,
    precedence,
    refute,
)
from boragespool.membership.options import MembershipOptions
from boragespool.membership.receiving import merge_message
from boragespool.membership.spreading import Rumour, choose_records, send_count
from boragespool.membership.table import (
    MemberTable,
    clear_leaving_suspicion,
    expire_members,
    restart_suspicion_timers,
    suspect,
    update_own_record,
    all_records_by_host,
)
from boragespool.membership.view import is_kept

__all__ = (
    'MemberTable',
    'MembershipOptions',
    'PingRound',
    'Rumour',
    'score_after_tick',
    'score_after_suspicion',
    'choose_addresses',
    'choose_random_hosts',
    'choose_records',
    'compose_message',
    'clear_leaving_suspicion',
    'expire_members',
    'restart_suspicion_timers',
    'precedence_changed',
    'is_kept',
    'merge_records',
    'next_target',
    'precedence',
    'merge_message',
    'refute',
    'send_count',
    'scale_timeouts',
    'suspect',
    'suspicion_time_s',
    'update_own_record',
    'all_records_by_host',
)
