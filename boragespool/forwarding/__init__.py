"""Decision logic of request forwarding, without I/O.

A request is forwarded to one backend server of a service, or to one backend
server of each shard. The routes come from the operators' configuration. The
caller receives the reply of the backend server, or the merged replies of the
shards.
"""

from __future__ import annotations

from boragespool.forwarding.busyness import Busyness, after_sample
from boragespool.forwarding.call_queue import CallQueue, WaitingCall
from boragespool.forwarding.connection_sharing import (
    SharingDaemons,
    sharing_daemons,
)
from boragespool.forwarding.crash_evidence import (
    BlockedRequests,
    CrashEvidence,
)
from boragespool.forwarding.crash_patterns import (
    BlockingLimits,
    SuspectRequest,
    find_crash_patterns,
)
from boragespool.forwarding.fingerprints import (
    MAX_PART_COUNT,
    RequestIdentity,
    request_identity,
)
from boragespool.forwarding.hosts import (
    HostRecord,
    HostTable,
    ReadPlan,
    caller_hosts_by_data_centre,
    control_addresses,
    hosts_for_callers,
    nearest_hosts,
    plan_reads,
)
from boragespool.forwarding.loads import ServerLoad
from boragespool.forwarding.loss_notices import LossNotice, LossReport
from boragespool.forwarding.rate_share import RateShare
from boragespool.forwarding.records import RECORD_SIZE_BYTES, top_records
from boragespool.forwarding.registrations import (
    Registration,
    RegistrationChanges,
    RegistrationTable,
    diff_registrations,
)
from boragespool.forwarding.replies import (
    ForwardRequest,
    Reply,
    Verdict,
    classify_reply,
)
from boragespool.forwarding.retry_budget import (
    AllowanceShare,
    RetryBudget,
    RetryLimits,
)
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
    Locality,
    choose_server,
)
from boragespool.forwarding.splits import WeightedRoundRobin
from boragespool.forwarding.stopping import can_finish_before_stop
from boragespool.forwarding.timing import (
    Deadlines,
    HedgeTimes,
    hedge_delay_s,
    meets_coverage,
    plan_deadlines,
)
from boragespool.forwarding.warming import IdleState, servers_to_warm

__all__ = (
    'MAX_PART_COUNT',
    'RECORD_SIZE_BYTES',
    'AllowanceShare',
    'BlockedRequests',
    'BlockingLimits',
    'Busyness',
    'CallQueue',
    'CallerLimits',
    'Candidate',
    'CrashEvidence',
    'Deadlines',
    'ForwardConfiguration',
    'ForwardRequest',
    'ForwardRoute',
    'HedgeTimes',
    'HostRecord',
    'HostTable',
    'IdleState',
    'Locality',
    'LossNotice',
    'LossReport',
    'RateShare',
    'ReadPlan',
    'Registration',
    'RegistrationChanges',
    'RegistrationTable',
    'Reply',
    'RequestIdentity',
    'RetryBudget',
    'RetryLimits',
    'RouteTable',
    'ServerLoad',
    'SharingDaemons',
    'SuspectRequest',
    'Verdict',
    'WaitingCall',
    'WeightedRoundRobin',
    'WeightedService',
    'after_sample',
    'caller_hosts_by_data_centre',
    'can_finish_before_stop',
    'choose_server',
    'classify_reply',
    'control_addresses',
    'diff_registrations',
    'find_crash_patterns',
    'hedge_delay_s',
    'hosts_for_callers',
    'index_routes',
    'meets_coverage',
    'nearest_hosts',
    'plan_deadlines',
    'plan_reads',
    'request_identity',
    'servers_to_warm',
    'sharing_daemons',
    'top_records',
)
