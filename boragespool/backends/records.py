"""Which of two records of one backend server is kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragespool.messages import ServerRecord
    from boragespool.types import HostName


def prefer(
    known: ServerRecord | None,
    incoming: ServerRecord,
    current: HostName | None,
) -> ServerRecord:
    """Choose between the known and an incoming record.

    Parameters
    ----------
    known : ServerRecord or None
        Record kept so far.
    incoming : ServerRecord
        Record that was announced.
    current : str or None
        Dispatcher of the server in this daemon's view of the members.

    Returns
    -------
    ServerRecord
        Of one dispatcher, the higher incarnation and sequence win. Of two
        dispatchers, the current one wins; if neither is current, the record
        of the newer server incarnation, then of the newer dispatcher.
    """
    if known is None:
        return incoming
    if known.dispatcher == incoming.dispatcher:
        newer = _age(incoming) > _age(known)
    elif current in {known.dispatcher, incoming.dispatcher}:
        newer = incoming.dispatcher == current
    else:
        newer = _order(incoming) > _order(known)
    return incoming if newer else known


def _age(record: ServerRecord) -> tuple[int, int]:
    return record.dispatcher_incarnation, record.sequence


def _order(record: ServerRecord) -> tuple[int, int, int, str]:
    """Order records of two dispatchers; the host name breaks ties."""
    return (record.incarnation, *_age(record), record.dispatcher)
