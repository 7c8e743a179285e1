"""Replacement of parts of the settings.

A new revision usually shares most parts with the previous one. Its settings
are made from the previous settings and the parts that were removed and added.
"""

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

#: Settings to which the first parts are added. `replace_parts` compares them
#: by identity.
EMPTY_SETTINGS: Final = Settings(ranks={})


def replace_parts(
    previous: Settings,
    removed: Iterable[Part],
    added: Iterable[Part],
) -> Settings | Failure:
    """Return settings in which some parts are replaced by others.

    Parameters
    ----------
    previous : Settings
        Settings that contain the removed parts; `EMPTY_SETTINGS` if there are
        none yet.
    removed, added : iterable of Part
        Parts to remove and parts to add.

    Returns
    -------
    Settings or Failure
        New settings; services without removed or added parts are the same
        objects as in `previous`. ``INVALID_SETTING`` if a server or a route
        occurs twice, or if the limits of a service or the remaining options
        are missing or occur twice.
    """
    removed, added = tuple(removed), tuple(added)
    services = _replace_in_services(previous, removed, added)
    if isinstance(services, Failure):
        return services
    routes = _replace_entries(
        previous.routes,
        [part.routes for part in removed],
        [part.routes for part in added],
    )
    if isinstance(routes, Failure):
        return routes
    rest = _remaining_values(
        None if previous is EMPTY_SETTINGS else previous,
        [part.rest for part in removed],
        [part.rest for part in added],
    )
    if len(rest) != 1:
        return _failure(f'{len(rest)!r} parts with ranks and other options')
    return replace(rest[0], services=services, routes=routes)


def subset_of_settings(settings: Settings, parts: Iterable[Part]) -> Settings:
    """Return settings whose only servers and routes are those of some parts.

    Parameters
    ----------
    settings : Settings
        Settings that provide the limits of services and all other options.
    parts : iterable of Part
        Parts of these settings or of earlier ones.

    Returns
    -------
    Settings
        Only services of the parts. Those that do not exist in `settings`
        have 1 slot and 1 connection.
    """
    servers_by_service: dict[ServiceName, dict[ServerName, ServerSettings]] = {}
    routes = {}
    for part in parts:
        routes.update(part.routes)
        if part.service:
            servers = servers_by_service.setdefault(part.service, {})
            servers.update(part.servers)
    default = ServiceSettings(1, 1, {})
    services = {
        name: replace(settings.services.get(name, default), servers=servers)
        for name, servers in servers_by_service.items()
    }
    return replace(settings, services=services, routes=routes)


def _replace_in_services(
    previous: Settings,
    removed: tuple[Part, ...],
    added: tuple[Part, ...],
) -> dict[ServiceName, ServiceSettings] | Failure:
    removed_by_service = _group_by_service(removed)
    added_by_service = _group_by_service(added)
    services = dict(previous.services)
    for name in removed_by_service.keys() | added_by_service.keys():
        service = _replace_in_service(
            services.pop(name, None),
            removed_by_service.get(name, []),
            added_by_service.get(name, []),
        )
        if isinstance(service, Failure):
            return service
        if service is not None:
            services[name] = service
    return services


def _group_by_service(parts: Iterable[Part]) -> dict[ServiceName, list[Part]]:
    parts_by_service: dict[ServiceName, list[Part]] = {}
    for part in parts:
        if part.service:
            parts_by_service.setdefault(part.service, []).append(part)
    return parts_by_service


def _replace_in_service(
    previous: ServiceSettings | None,
    removed: list[Part],
    added: list[Part],
) -> ServiceSettings | Failure | None:
    """Return the changed service, or None if no part of it remains."""
    servers = _replace_entries(
        previous.servers if previous else {},
        [part.servers for part in removed],
        [part.servers for part in added],
    )
    if isinstance(servers, Failure):
        return servers
    limits = _remaining_values(
        _limits_of(previous) if previous else None,
        [part.limits for part in removed],
        [part.limits for part in added],
    )
    if not limits and not servers:
        return None
    if len(limits) != 1:
        return _failure(f'{len(limits)!r} parts with limits of a service')
    return ServiceSettings(
        limits[0].slots,
        limits[0].connections,
        servers,
        limits[0].connection_cost_ms,
    )


def _limits_of(service: ServiceSettings) -> ServiceLimits:
    return ServiceLimits(
        service.slots,
        service.connections,
        service.connection_cost_ms,
    )


def _remaining_values(
    current: _EntryT | None,
    removed: Iterable[_EntryT | None],
    added: Iterable[_EntryT | None],
) -> list[_EntryT]:
    """Return the values that parts set for a field after the change.

    The settings are valid only if exactly one part sets the field.
    """
    if any(entry is not None for entry in removed):
        current = None
    return [entry for entry in (current, *added) if entry is not None]


def _replace_entries(
    previous: dict[str, _EntryT],
    removed: Iterable[dict[str, _EntryT]],
    added: Iterable[dict[str, _EntryT]],
) -> dict[str, _EntryT] | Failure:
    """Remove and add entries; fail if an added entry exists already."""
    table = dict(previous)
    for entries in removed:
        for name in entries:
            table.pop(name, None)
    for entries in added:
        size = len(table) + len(entries)
        table.update(entries)
        if len(table) < size:
            return _failure(
                f'entries {sorted(entries)!r}, at least one of them twice',
            )
    return table


def _failure(found: str) -> Failure:
    return Failure(
        ResultCode.INVALID_SETTING,
        f'a revision contains {found}; exactly one is allowed',
    )
