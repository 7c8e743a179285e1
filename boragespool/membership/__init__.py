"""Decisions about members: merging, failure detection, spread, addresses."""

from __future__ import annotations

from boragespool.membership.addresses import choose_addresses
from boragespool.membership.composing import compose
from boragespool.membership.detection import (
    PingOrder,
    choose_hosts,
    next_target,
    suspicion_time_s,
)
from boragespool.membership.health import (
    after_suspicion,
    after_tick,
    slowed,
)
from boragespool.membership.merging import (
    is_change,
    merge_records,
    precedence,
    refute,
)
from boragespool.membership.options import MembershipOptions
from boragespool.membership.receiving import receive
from boragespool.membership.spreading import Rumour, choose_records, send_count
from boragespool.membership.table import (
    MemberTable,
    confirm,
    expire,
    forgive,
    suspect,
    update_own,
    with_own,
)
from boragespool.membership.view import is_kept

__all__ = (
    'MemberTable',
    'MembershipOptions',
    'PingOrder',
    'Rumour',
    'after_tick',
    'after_suspicion',
    'choose_addresses',
    'choose_hosts',
    'choose_records',
    'compose',
    'confirm',
    'expire',
    'forgive',
    'is_change',
    'is_kept',
    'merge_records',
    'next_target',
    'precedence',
    'receive',
    'refute',
    'send_count',
    'slowed',
    'suspect',
    'suspicion_time_s',
    'update_own',
    'with_own',
)
