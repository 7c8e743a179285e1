"""Aliases and enumerations shared by all packages."""

from __future__ import annotations

import enum
from typing import Final, TypeAlias

HostName: TypeAlias = str
DataCentre: TypeAlias = str
Region: TypeAlias = str
#: Names in lower case with their values, in order.
HeaderFields: TypeAlias = tuple[tuple[str, str], ...]
CallerName: TypeAlias = str
ServerName: TypeAlias = str
ServiceName: TypeAlias = str
RouteName: TypeAlias = str
RequestId: TypeAlias = str
AttemptId: TypeAlias = str
IndexVersion: TypeAlias = int
Incarnation: TypeAlias = int
Revision: TypeAlias = int
Seconds: TypeAlias = float
#: ``host:port`` with a numeric IP address.
Address: TypeAlias = str

#: Keys are hashed to ``[0, KEY_SPACE_SIZE)``.
KEY_SPACE_SIZE: Final = 2**32


class Rank(enum.StrEnum):
    """Importance of a piece of work, most important first."""

    URGENT = 'urgent'
    ROUTINE = 'routine'
    DEFERRABLE = 'deferrable'


class WorkKind(enum.StrEnum):
    """Whether work may run more than once."""

    QUERY = 'query'
    CLAIM = 'claim'


class RunState(enum.StrEnum):
    """What is known about the execution of a piece of work."""

    NOT_RUN = 'not_run'
    RUN = 'run'
    UNKNOWN = 'unknown'


class ServerState(enum.StrEnum):
    """State of a backend server as its dispatcher sees it."""

    SERVING = 'serving'
    COLD = 'cold'
    DRAINING = 'draining'
    LOST = 'lost'


class MemberStatus(enum.StrEnum):
    """State of a daemon as its peers see it."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class Phase(enum.StrEnum):
    """Life cycle of a daemon."""

    STARTING = 'starting'
    READY = 'ready'
    LEAVING = 'leaving'
    STOPPED = 'stopped'
