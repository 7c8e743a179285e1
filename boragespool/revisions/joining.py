"""Settings from the parts that were removed from and added to others."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final, TypeVar

from boragespool.results import Failure, ResultCode
from boragespool.revisions.parts import ServiceLimits
from boragespool.settings import ServiceSettings, Settings

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.revisions.parts import Part
    from boragespool.settings import ServerSettings
    from boragespool.types import ServerName, ServiceName

_EntryT = TypeVar('_EntryT')

#: What the first parts are joined to.
NOTHING: Final = Settings(ranks={})


def join(
    before: Settings,
    removed: Iterable[Part],
    added: Iterable[Part],
) -> Settings | Failure:
    """Exchange parts of settings.

    Parameters
    ----------
    before : Settings
        Settings that consist of the removed parts and those that stay;
        `NOTHING` for the first parts.
    removed, added : iterable of Part
        What differs.

    Returns
    -------
    Settings or Failure
        ``INVALID_SETTING`` if a piece is missing or occurs twice. Tables
        that no part concerns are those of `before`.
    """
    removed, added = tuple(removed), tuple(added)
    services = _services(before, removed, added)
    if isinstance(services, Failure):
        return services
    routes = _exchange(
        before.routes,
        [part.routes for part in removed],
        [part.routes for part in added],
    )
    if isinstance(routes, Failure):
        return routes
    rest = _remaining(
        None if before is NOTHING else before,
        [part.rest for part in removed],
        [part.rest for part in added],
    )
    if len(rest) != 1:
        return _unfit(f'{len(rest)!r} parts with ranks and other options')
    return replace(rest[0], services=services, routes=routes)


def fragment(joined: Settings, parts: Iterable[Part]) -> Settings:
    """Return settings with the servers and routes of some parts only.

    Parameters
    ----------
    joined : Settings
        Source of everything that is not a server or a route.
    parts : iterable of Part
        Parts of `joined` or of settings before it.

    Returns
    -------
    Settings
        Limits of services that `joined` lacks are left at 1.
    """
    servers_by_service: dict[ServiceName, dict[ServerName, ServerSettings]] = {}
    routes = {}
    for part in parts:
        routes.update(part.routes)
        if part.service:
            servers = servers_by_service.setdefault(part.service, {})
            servers.update(part.servers)
    unknown = ServiceSettings(1, 1, {})
    services = {
        name: replace(joined.services.get(name, unknown), servers=servers)
        for name, servers in servers_by_service.items()
    }
    return replace(joined, services=services, routes=routes)


def _services(
    before: Settings,
    removed: tuple[Part, ...],
    added: tuple[Part, ...],
) -> dict[ServiceName, ServiceSettings] | Failure:
    removed_by_name = _by_service(removed)
    added_by_name = _by_service(added)
    services = dict(before.services)
    for name in removed_by_name.keys() | added_by_name.keys():
        service = _service(
            services.pop(name, None),
            removed_by_name.get(name, []),
            added_by_name.get(name, []),
        )
        if isinstance(service, Failure):
            return service
        if service is not None:
            services[name] = service
    return services


def _by_service(parts: Iterable[Part]) -> dict[ServiceName, list[Part]]:
    grouped: dict[ServiceName, list[Part]] = {}
    for part in parts:
        if part.service:
            grouped.setdefault(part.service, []).append(part)
    return grouped


def _service(
    before: ServiceSettings | None,
    removed: list[Part],
    added: list[Part],
) -> ServiceSettings | Failure | None:
    """Return None for a service of which nothing is left."""
    servers = _exchange(
        before.servers if before else {},
        [part.servers for part in removed],
        [part.servers for part in added],
    )
    if isinstance(servers, Failure):
        return servers
    limits = _remaining(
        _limits(before) if before else None,
        [part.limits for part in removed],
        [part.limits for part in added],
    )
    if not limits and not servers:
        return None
    if len(limits) != 1:
        return _unfit(f'{len(limits)!r} parts with limits of a service')
    return ServiceSettings(
        limits[0].slots,
        limits[0].connections,
        servers,
        limits[0].connection_cost_ms,
    )


def _limits(service: ServiceSettings) -> ServiceLimits:
    return ServiceLimits(
        service.slots,
        service.connections,
        service.connection_cost_ms,
    )


def _remaining(
    held: _EntryT | None,
    removed: Iterable[_EntryT | None],
    added: Iterable[_EntryT | None],
) -> list[_EntryT]:
    """Return what several parts say about something that only one may."""
    if any(entry is not None for entry in removed):
        held = None
    return [entry for entry in (held, *added) if entry is not None]


def _exchange(
    before: dict[str, _EntryT],
    removed: Iterable[dict[str, _EntryT]],
    added: Iterable[dict[str, _EntryT]],
) -> dict[str, _EntryT] | Failure:
    """Exchange entries of a table; an entry must not occur twice."""
    table = dict(before)
    for former in removed:
        for name in former:
            table.pop(name, None)
    for entries in added:
        size = len(table) + len(entries)
        table.update(entries)
        if len(table) < size:
            return _unfit(f'an entry of {sorted(entries)!r} that occurs twice')
    return table


def _unfit(found: str) -> Failure:
    return Failure(
        ResultCode.INVALID_SETTING,
        f'the parts of a revision have {found}; allowed is exactly one',
    )
