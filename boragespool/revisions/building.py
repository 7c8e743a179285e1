"""Construction of the next revision document from an operator's command."""

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

#: Entries of the audit trail that a document keeps.
AUDIT_ENTRY_LIMIT: Final = 100
#: Characters in the author and the note of an audit entry. With
#: `AUDIT_ENTRY_LIMIT` they limit the audit trail to about a quarter of the
#: store's 1 MB per value.
AUTHOR_LIMIT_CHARS: Final = 100
NOTE_LIMIT_CHARS: Final = 400
#: Cleared fingerprints that a document keeps.
CLEARANCE_LIMIT: Final = 32


@dataclass(frozen=True, slots=True)
class Change:
    """A command of an operator that changes the configuration.

    Attributes
    ----------
    change_id : str
        Random unique identifier.
    action : str
        ``apply``, ``rollback``, ``drain``, ``undrain`` or ``clear``.
    author : str
        Operator who ran the command.
    at_s : float
        Wall time of the command, in seconds since 1970.
    note : str
        Comment of the operator.
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
    """Build the document of the revision that follows a base.

    Parameters
    ----------
    settings : Settings
        Whole validated configuration.
    base : RevisionDocument or None
        Document that the change replaces; None for the first revision.
    change : Change
        Command to record in the audit trail.

    Returns
    -------
    RevisionDocument
        Document with the next revision number. The oldest audit entries
        beyond `AUDIT_ENTRY_LIMIT` are dropped.
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
        ('author', change.author, AUTHOR_LIMIT_CHARS),
        ('note', change.note, NOTE_LIMIT_CHARS),
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
    """Build the next document, which clears a blocked fingerprint.

    Parameters
    ----------
    fingerprint : int
        Fingerprint of the request to unblock.
    base : RevisionDocument
        Document that the change replaces; its settings are kept.
    change : Change
        Command to record in the audit trail.

    Returns
    -------
    RevisionDocument
        Document with the next revision number. The oldest cleared
        fingerprints beyond `CLEARANCE_LIMIT` are dropped.
    """
    document = next_document(base.settings, base, change)
    clearance = Clearance(fingerprint, document.revision)
    others = tuple(
        earlier
        for earlier in base.cleared
        if earlier.fingerprint != fingerprint
    )
    cleared = (*others, clearance)[-CLEARANCE_LIMIT:]
    return replace(document, cleared=cleared)


def newly_cleared_fingerprints(
    previous: RevisionDocument | None,
    adopted: RevisionDocument,
) -> frozenset[int]:
    """Return the fingerprints to unblock when a document comes into force.

    Empty without a previous document, because a daemon that had none yet has
    blocked nothing.
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
    """Return settings with all backend servers of a host drained or not.

    Parameters
    ----------
    settings : Settings
        Settings to change.
    host : str
        Host name as in the settings of its backend servers.
    drained : bool
        Whether the servers are drained; False puts them back into service.

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
            f'no backend server is on host {host!r}; allowed hosts: '
            f'{sorted(hosts)!r}',
        )
    return replace(settings, services=services)


def undrained_servers(before: Settings, after: Settings) -> tuple[str, ...]:
    """Return the names of the servers that a change puts back into service.

    These are drained in `before`, and exist without being drained in `after`.
    """
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
