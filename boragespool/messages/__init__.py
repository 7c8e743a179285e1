"""Messages between daemons, as frozen data classes.

Class names and field names are part of the wire format.
"""

from __future__ import annotations

from boragespool.messages.claims import (
    ClaimRecord,
    ClaimReply,
    ClaimState,
    DroppedMark,
    ForwardClaim,
    HandOver,
    HandOverAck,
    RecordOutcome,
    RecordStart,
    SealTicket,
    WitnessReply,
    WitnessVerdict,
)
from boragespool.messages.hosts import LeavingHosts, LeavingHostsRequest
from boragespool.messages.membership import (
    Ack,
    Gossip,
    MemberRecord,
    Ping,
    PingRequest,
)
from boragespool.messages.revisions import (
    PartsReply,
    PartsRequest,
    RevisionReply,
    RevisionRequest,
)
from boragespool.messages.servers import (
    Holding,
    ServerAnnouncement,
    ServerDigest,
    ServerPage,
    ServerPageRequest,
    ServerRecord,
    ServersWanted,
    ServerVersions,
    SuspectNotice,
    SuspectNoticeAck,
)
from boragespool.messages.work import (
    CancelWork,
    Item,
    WorkReply,
    WorkRequest,
)

__all__ = (
    'Ack',
    'CancelWork',
    'ClaimRecord',
    'ClaimReply',
    'ClaimState',
    'DroppedMark',
    'ForwardClaim',
    'Gossip',
    'HandOver',
    'HandOverAck',
    'Holding',
    'Item',
    'LeavingHosts',
    'LeavingHostsRequest',
    'MemberRecord',
    'PartsReply',
    'PartsRequest',
    'Ping',
    'PingRequest',
    'RecordOutcome',
    'RecordStart',
    'RevisionReply',
    'RevisionRequest',
    'SealTicket',
    'ServerAnnouncement',
    'ServerDigest',
    'ServerPage',
    'ServerPageRequest',
    'ServerRecord',
    'ServerVersions',
    'ServersWanted',
    'SuspectNotice',
    'SuspectNoticeAck',
    'WitnessReply',
    'WitnessVerdict',
    'WorkReply',
    'WorkRequest',
)
