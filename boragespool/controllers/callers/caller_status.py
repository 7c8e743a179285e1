"""Bodies of the health, readiness and status reports of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from boragespool.blackboard.topics import (
    ADMISSION,
    BLOCKED_FINGERPRINTS,
    DOCUMENT_IN_FORCE,
    LEAVING_HOSTS,
    MEMBERS,
    PHASE,
    SERVERS,
    SUSPECT_FINGERPRINTS,
)
from boragespool.results import Failure, ResultCode
from boragespool.types import Phase

if TYPE_CHECKING:
    from boragespool.controllers.context import Context


def describe_health(context: Context) -> dict[str, Any]:
    """Return the identity and the phase of this daemon."""
    return {
        'host': context.identity.host,
        'incarnation': context.identity.incarnation,
        'data_centre': context.identity.data_centre,
        'region': context.identity.region,
        'phase': context.board.read(PHASE),
    }


def check_ready(context: Context) -> Failure | None:
    """Return a failure if new callers should use another daemon."""
    phase = context.board.read(PHASE)
    if phase is Phase.READY:
        return None
    if phase is Phase.STARTING:
        return Failure(
            ResultCode.NOT_READY,
            'the daemon is starting; it has no configuration yet',
            retry_after_s=1,
        )
    return Failure(
        ResultCode.LEAVING,
        f'the daemon is in phase {phase.value!r} and accepts no new callers',
        retry_after_s=1,
    )


def describe_status(
    context: Context,
    in_flight: int,
    queues: object,
) -> dict[str, Any]:
    """Return members, servers, revision and queues as this daemon sees them.

    Parameters
    ----------
    context : Context
        Identity and blackboard.
    in_flight : int
        Number of queries, claims and outcome requests in flight.
    queues : object
        Report of the dispatch controller, encodable as JSON.
    """
    board = context.board
    document = board.read(DOCUMENT_IN_FORCE)
    leaving = board.read(LEAVING_HOSTS)
    blocked = board.read(BLOCKED_FINGERPRINTS)
    suspects = board.read(SUSPECT_FINGERPRINTS)
    if document is None:
        in_force: dict[str, Any] = {'revision': 0, 'change_id': ''}
    else:
        in_force = {
            'revision': document.revision,
            'change_id': document.change_id,
        }
    return describe_health(context) | {
        **in_force,
        'in_flight': in_flight,
        'members': _sorted_values(board.read(MEMBERS)),
        'servers': _sorted_values(board.read(SERVERS)),
        'queues': queues,
        'admitted': board.read(ADMISSION).share_by_rank,
        'leaving_hosts': sorted(leaving),
        'blocked': sorted(blocked),
        'suspects': sorted(suspects),
    }


def _sorted_values(values_by_name: Any) -> list[Any]:
    return [values_by_name[name] for name in sorted(values_by_name)]
