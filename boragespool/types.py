"""Type aliases and enumerations shared by all packages."""

from __future__ import annotations

import enum
from typing import Final, TypeAlias

HostName: TypeAlias = str
DataCentre: TypeAlias = str
Region: TypeAlias = str
#: HTTP header fields in order, as pairs of lower-case name and value.
HeaderFields: TypeAlias = tuple[tuple[str, str], ...]
CallerName: TypeAlias = str
ServerName: TypeAlias = str
ServiceName: TypeAlias = str
RouteName: TypeAlias = str
RequestId: TypeAlias = str
AttemptId: TypeAlias = str
IndexVersion: TypeAlias = int
#: Identifies one run of a process, so that a restart can be recognised.
Incarnation: TypeAlias = int
#: Number of a configuration revision.
Revision: TypeAlias = int
Seconds: TypeAlias = float
#: ``host:port`` with a numeric IP address.
Address: TypeAlias = str

#: Keys of an index are hashed to ``[0, KEY_SPACE_SIZE)``.
KEY_SPACE_SIZE: Final = 2**32


class Rank(enum.StrEnum):
    """Priority of work, highest first."""

    URGENT = 'urgent'
    ROUTINE = 'routine'
    DEFERRABLE = 'deferrable'


class WorkKind(enum.StrEnum):
    """Kind of work: a query may run more than once, a claim must not."""

    QUERY = 'query'
    CLAIM = 'claim'


class RunState(enum.StrEnum):
    """Whether work was executed; ``UNKNOWN`` if it may have been."""

    NOT_RUN = 'not_run'
    RUN = 'run'
    UNKNOWN = 'unknown'


class ServerState(enum.StrEnum):
    """State of a backend server according to its dispatcher."""

    SERVING = 'serving'
    COLD = 'cold'
    DRAINING = 'draining'
    LOST = 'lost'


class MemberStatus(enum.StrEnum):
    """Status of a daemon according to its peers."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class Phase(enum.StrEnum):
    """Life-cycle phase of a daemon."""

    STARTING = 'starting'
    READY = 'ready'
    LEAVING = 'leaving'
    STOPPED = 'stopped'
