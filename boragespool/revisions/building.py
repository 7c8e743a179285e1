"""Building the next revision document."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from boragespool.results import Failure, ResultCode
from boragespool.revisions.document import (
    AuditEntry,
    Clearance,
    RevisionDocument,
)

if TYPE_CHECKING:
    from boragespool.settings import ServiceSettings, Settings
    from boragespool.types import HostName, Seconds

AUDIT_ENTRY_LIMIT: Final = 100
#: Characters; together with `AUDIT_ENTRY_LIMIT` they bound the trail to about a
#: quarter of the 1 MB that a value may have.
AUTHOR_LIMIT: Final = 100
NOTE_LIMIT: Final = 400
CLEARED_LIMIT: Final = 32


@dataclass(frozen=True, slots=True)
class Change:
    """One command of an operator.

    Attributes
    ----------
    change_id : str
        Random identifier.
    action : str
        ``apply``, ``rollback``, ``drain``, ``undrain`` or ``clear``.
    at_s : float
        Wall time in seconds since 1970.
    """

    change_id: str
    action: str
    author: str
    at_s: Seconds
    note: str = ''


def next_document(
    settings: Settings,
    base: RevisionDocument | None,
    change: Change,
) -> RevisionDocument:
    """Build the document that follows a base.

    Parameters
    ----------
    settings : Settings
        Whole validated configuration.
    base : RevisionDocument or None
        Document that the change starts from; None for the first one.
    change : Change
        What goes into the audit trail.

    Returns
    -------
    RevisionDocument
        With the next revision; the oldest audit entries beyond
        `AUDIT_ENTRY_LIMIT` are dropped.
    """
    base_revision = base.revision if base else 0
    entry = AuditEntry(
        change.at_s,
        change.author,
        change.action,
        base_revision + 1,
        base_revision,
        change.change_id,
        change.note,
    )
    trail = (*base.audit, entry) if base else (entry,)
    return RevisionDocument(
        base_revision + 1,
        change.change_id,
        settings,
        trail[-AUDIT_ENTRY_LIMIT:],
        base.cleared if base else (),
    )


def check_change(change: Change) -> Failure | None:
    """Return a failure for an author or a note that is too long."""
    for name, text, limit in (
        ('author', change.author, AUTHOR_LIMIT),
        ('note', change.note, NOTE_LIMIT),
    ):
        if len(text) > limit:
            return Failure(
                ResultCode.INVALID_SETTING,
                f'{name} {text!r} has {len(text)!r} characters; at most '
                f'{limit!r} are allowed',
            )
    return None


def clear_fingerprint(
    fingerprint: int,
    base: RevisionDocument,
    change: Change,
) -> RevisionDocument:
    """Build the document that clears a blocked fingerprint."""
    following = next_document(base.settings, base, change)
    clearance = Clearance(fingerprint, following.revision)
    others = tuple(
        earlier
        for earlier in base.cleared
        if earlier.fingerprint != fingerprint
    )
    cleared = (*others, clearance)[-CLEARED_LIMIT:]
    return replace(following, cleared=cleared)


def newly_cleared_fingerprints(
    previous: RevisionDocument | None,
    adopted: RevisionDocument,
) -> frozenset[int]:
    """Return the fingerprints to clear when a document comes into force.

    A daemon without a previous document has nothing to clear.
    """
    if previous is None:
        return frozenset()
    return frozenset(
        clearance.fingerprint
        for clearance in adopted.cleared
        if clearance.revision > previous.revision
    )


def with_host_drained(
    settings: Settings,
    host: HostName,
    *,
    drained: bool,
) -> Settings | Failure:
    """Mark all backend servers on a host.

    Parameters
    ----------
    settings : Settings
        Configuration to start from.
    host : str
        Name of the host in the settings of its backend servers.
    drained : bool
        False puts the servers back to work.

    Returns
    -------
    Settings or Failure
        ``INVALID_SETTING`` if no backend server is on the host.
    """
    services = {
        name: _service_with_host_drained(service, host, drained=drained)
        for name, service in settings.services.items()
    }
    hosts = {
        server.host
        for service in services.values()
        for server in service.servers.values()
    } - {''}
    if host not in hosts:
        return Failure(
            ResultCode.INVALID_SETTING,
            f'no backend server is on host {host!r}; allowed: '
            f'{sorted(hosts)!r}',
        )
    return replace(settings, services=services)


def undrained_servers(before: Settings, after: Settings) -> tuple[str, ...]:
    """Return the drained servers of `before` that `after` puts to work."""
    return tuple(
        name
        for service_name, service in before.services.items()
        if service_name in after.services
        for name, server in service.servers.items()
        if server.drained
        and name in after.services[service_name].servers
        and not after.services[service_name].servers[name].drained
    )


def _service_with_host_drained(
    service: ServiceSettings,
    host: HostName,
    *,
    drained: bool,
) -> ServiceSettings:
    servers = {
        name: replace(server, drained=drained)
        if server.host == host
        else server
        for name, server in service.servers.items()
    }
    return replace(service, servers=servers)
