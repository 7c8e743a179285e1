"""Topics on the blackboard and the parts that post them."""

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
    """What this daemon saw of a backend server while it sent work there.

    Attributes
    ----------
    limit : int
        Requests that it would run there at the same time.
    draining_at_s, refused_at_s : float
        Time of the latest reply ``draining`` and of the latest refused
        connection, on the clock of the timer service.
    """

    limit: int
    draining_at_s: Seconds = -math.inf
    refused_at_s: Seconds = -math.inf


#: Posted by the membership controller; includes this daemon's own record.
MEMBERS: Final[Topic[Mapping[HostName, MemberRecord]]] = Topic('members', {})
#: Posted by the server controller from own polls and from announcements.
SERVERS: Final[Topic[Mapping[ServerName, ServerRecord]]] = Topic('servers', {})
#: Posted by the configuration controller.
DOCUMENT_IN_FORCE: Final[Topic[RevisionDocument | None]] = Topic(
    'in_force', None
)
#: Posted by the daemon.
PHASE: Final[Topic[Phase]] = Topic('phase', Phase.STARTING)
#: Fingerprints of requests that crash backend servers; posted by dispatch.
BLOCKED_FINGERPRINTS: Final[Topic[frozenset[int]]] = Topic(
    'blocked', frozenset()
)
#: Fingerprints seen in the loss of one server; posted by dispatch.
SUSPECT_FINGERPRINTS: Final[Topic[frozenset[int]]] = Topic(
    'suspects', frozenset()
)
#: Hosts of the platform's list that are leaving; posted by configuration.
LEAVING_HOSTS: Final[Topic[frozenset[str]]] = Topic(
    'leaving_hosts',
    frozenset(),
)
#: Requests of callers in flight at this daemon; posted by the caller API.
LOAD: Final[Topic[float]] = Topic('load', 0)
#: What the daemon admits of callers; posted by the overload controller.
ADMISSION: Final[Topic[Admission]] = Topic('admission', Admission())
#: Posted by dispatch.
SERVER_OBSERVATIONS: Final[Topic[Mapping[ServerName, ServerObservation]]] = (
    Topic(
        'observations',
        {},
    )
)
