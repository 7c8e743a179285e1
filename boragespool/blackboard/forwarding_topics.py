"""Blackboard topics of daemons that forward requests to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.blackboard.board import Topic

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.forwarding import (
        HostRecord,
        LossNotice,
        LossReport,
        Registration,
        RouteTable,
    )
    from boragespool.types import ServerName

#: Routes of the configuration in force; None until a configuration was read.
#: Posted by the configuration follower.
ROUTES: Final[Topic[RouteTable | None]] = Topic('routes', None)
#: Current registrations of backend servers by server; None until the store was
#: read. Posted by the server registry.
REGISTRATIONS: Final[Topic[Mapping[ServerName, Registration] | None]] = Topic(
    'registered',
    None,
)
#: Daemons that accept requests, including this one while it accepts them.
#: Posted by the host registry.
SERVING_HOSTS: Final[Topic[tuple[HostRecord, ...]]] = Topic(
    'serving_hosts',
    (),
)
#: Losses of backend servers that this daemon saw and that a request may have
#: caused. Posted by the crash guard.
OWN_LOSSES: Final[Topic[tuple[LossNotice, ...]]] = Topic('own_losses', ())
#: Losses that daemons reported, also those of this host before its last
#: restart. Posted by the reports of losses.
REPORTED_LOSSES: Final[Topic[tuple[LossReport, ...]]] = Topic(
    'reported_losses',
    (),
)
