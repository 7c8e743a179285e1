"""Decisions about requests that backend servers answer unchanged.

A request is passed on to one backend server of a service, or to one of each
shard; routes come from the operators' configuration.
"""

from __future__ import annotations

from boragespool.forwarding.call_queue import CallQueue, WaitingCall
from boragespool.forwarding.hosts import (
    HostRecord,
    HostTable,
    control_addresses,
    nearest_records,
    reader_of,
)
from boragespool.forwarding.loads import ServerLoad
from boragespool.forwarding.records import greatest_records
from boragespool.forwarding.registrations import (
    Registration,
    RegistrationTable,
    RegistryChange,
    registry_change,
)
from boragespool.forwarding.replies import (
    ForwardRequest,
    Reply,
    Verdict,
    judge,
)
from boragespool.forwarding.retry_budget import RetryLimits, WindowBudget
from boragespool.forwarding.routes import (
    CallerLimits,
    ForwardConfiguration,
    ForwardRoute,
    RouteTable,
    WeightedService,
    index_routes,
)
from boragespool.forwarding.selection import (
    Candidate,
    Place,
    choose_server,
)
from boragespool.forwarding.splits import SplitTurns
from boragespool.forwarding.timing import (
    Deadlines,
    covers,
    hedge_after_s,
    plan_deadlines,
)

__all__ = (
    'CallQueue',
    'CallerLimits',
    'Candidate',
    'Deadlines',
    'ForwardConfiguration',
    'ForwardRequest',
    'ForwardRoute',
    'HostRecord',
    'HostTable',
    'Place',
    'Registration',
    'RegistrationTable',
    'RegistryChange',
    'Reply',
    'RetryLimits',
    'RouteTable',
    'ServerLoad',
    'SplitTurns',
    'Verdict',
    'WaitingCall',
    'WeightedService',
    'WindowBudget',
    'choose_server',
    'control_addresses',
    'covers',
    'greatest_records',
    'hedge_after_s',
    'index_routes',
    'judge',
    'nearest_records',
    'plan_deadlines',
    'reader_of',
    'registry_change',
)
