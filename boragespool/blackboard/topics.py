"""Blackboard topics of daemons that run queries and claims.

The comment on each topic names the component that posts it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.blackboard.board import Topic
from boragespool.ranks import Admission
from boragespool.types import Phase

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.messages import MemberRecord, ServerRecord
    from boragespool.revisions import RevisionDocument
    from boragespool.types import HostName, Seconds, ServerName


@dataclass(frozen=True, slots=True)
class ServerObservation:
    """State of a backend server as observed by sending work to it.

    Attributes
    ----------
    limit : int
        Maximum number of requests that this daemon runs on the server at the
        same time.
    draining_at_s : float
        Time of the latest reply ``draining``, on the clock of the timer
        service; negative infinity if there was none.
    refused_at_s : float
        Time of the latest refused connection, on the same clock; negative
        infinity if there was none.
    """

    limit: int
    draining_at_s: Seconds = -math.inf
    refused_at_s: Seconds = -math.inf


#: Member records of all known daemons, including this one. Posted by the
#: membership controller.
MEMBERS: Final[Topic[Mapping[HostName, MemberRecord]]] = Topic('members', {})
#: Records of all known backend servers, from this daemon's polls and from
#: announcements of peers. Posted by the server controller.
SERVERS: Final[Topic[Mapping[ServerName, ServerRecord]]] = Topic('servers', {})
#: Configuration revision in force; None until there is one. Posted by the
#: configuration controller.
DOCUMENT_IN_FORCE: Final[Topic[RevisionDocument | None]] = Topic(
    'in_force', None
)
#: Life-cycle phase of this daemon. Posted by the daemon.
PHASE: Final[Topic[Phase]] = Topic('phase', Phase.STARTING)
#: Fingerprints of requests that must not run because they crash backend
#: servers. Posted by dispatch.
BLOCKED_FINGERPRINTS: Final[Topic[frozenset[int]]] = Topic(
    'blocked', frozenset()
)
#: Fingerprints of requests that were in flight when a backend server was lost
#: and that are not blocked. Posted by dispatch.
SUSPECT_FINGERPRINTS: Final[Topic[frozenset[int]]] = Topic(
    'suspects', frozenset()
)
#: Hosts that the platform lists as leaving. Posted by the configuration
#: controller.
LEAVING_HOSTS: Final[Topic[frozenset[str]]] = Topic(
    'leaving_hosts',
    frozenset(),
)
#: Number of callers' requests in flight at this daemon. Posted by the caller
#: API.
LOAD: Final[Topic[float]] = Topic('load', 0)
#: Shares of callers' requests that the daemon admits. Posted by the overload
#: controller.
ADMISSION: Final[Topic[Admission]] = Topic('admission', Admission())
#: Observations of the backend servers to which this daemon sends work. Posted
#: by dispatch.
SERVER_OBSERVATIONS: Final[Topic[Mapping[ServerName, ServerObservation]]] = (
    Topic(
        'observations',
        {},
    )
)
