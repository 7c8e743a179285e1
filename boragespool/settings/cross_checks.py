"""Validation rules that involve more than one option."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.settings.problems import Problem
from boragespool.types import Rank

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from boragespool.settings.schema import ServiceSettings, Settings

# Floors such as 0.1 + 0.2 + 0.7 can add up to slightly more than 1 in floating
# point.
_FLOOR_SUM_TOLERANCE: Final = 1e-9

#: Up to this many new server names, each one is looked up in every service.
#: For more, all names are compared in one pass instead, which is faster:
#: looking up 67,000 names in 1,100 services took 18 s.
_MAX_NAME_LOOKUPS: Final = 100


def cross_option_problems(
    settings: Settings,
    identities: ServerIdentities | None = None,
) -> Iterator[Problem]:
    """Yield a problem for each rule between options that is broken.

    Parameters
    ----------
    settings : Settings
        Settings in which each single value is valid.
    identities : ServerIdentities, optional
        Server names and addresses to check for duplicates. By default all
        are checked.

    Yields
    ------
    Problem
        Its `file` is empty.
    """
    yield from _route_problems(settings)
    yield from _rank_problems(settings)
    yield from _service_problems(settings)
    if _has_duplicates(settings, identities):
        yield from _duplicate_problems(settings)
    claims = settings.claims
    if claims.record_age_s < claims.ticket_validity_s:
        yield Problem(
            'claims.record_age_s',
            repr(claims.record_age_s),
            'at least claims.ticket_validity_s '
            f'({claims.ticket_validity_s!r}), because a record must outlive '
            'its ticket',
        )


@dataclass(frozen=True, slots=True)
class ServerIdentities:
    """Server names and addresses, each unique across all services."""

    names: frozenset[str]
    addresses: frozenset[str]


def added_server_identities(
    removed: Settings, added: Settings
) -> ServerIdentities:
    """Return the server names and addresses that a change introduces.

    Parameters
    ----------
    removed, added : Settings
        The servers that the change removes and adds.

    Returns
    -------
    ServerIdentities
        Those that occur more often in `added` than in `removed`. The change
        can't make any other name or address a duplicate.
    """
    names = Counter(_server_names(added)) - Counter(_server_names(removed))
    addresses = Counter(_server_addresses(added)) - Counter(
        _server_addresses(removed),
    )
    return ServerIdentities(frozenset(names), frozenset(addresses))


def _server_names(settings: Settings) -> Iterator[str]:
    for service in settings.services.values():
        yield from service.servers


def _server_addresses(settings: Settings) -> Iterator[str]:
    for service in settings.services.values():
        for server in service.servers.values():
            yield server.address


def _has_duplicates(
    settings: Settings, identities: ServerIdentities | None
) -> bool:
    if identities is None or len(identities.names) > _MAX_NAME_LOOKUPS:
        return any(
            len(set(values)) < len(values)
            for values in (
                list(_server_names(settings)),
                list(_server_addresses(settings)),
            )
        )
    names = (
        name
        for name in identities.names
        for service in settings.services.values()
        if name in service.servers
    )
    if _has_more_than(names, len(identities.names)):
        return True
    new_addresses = identities.addresses
    if not new_addresses:
        return False
    addresses = (
        server.address
        for service in settings.services.values()
        for server in service.servers.values()
        if server.address in new_addresses
    )
    return _has_more_than(addresses, len(new_addresses))


def _has_more_than(values: Iterable[str], count: int) -> bool:
    return sum(1 for _ in values) > count


def _route_problems(settings: Settings) -> Iterator[Problem]:
    service_names = ', '.join(map(repr, sorted(settings.services))) or 'none'
    for name, route in settings.routes.items():
        if route.service not in settings.services:
            yield Problem(
                f'routes.{name}.service',
                repr(route.service),
                f'a configured service: {service_names}',
            )


def _rank_problems(settings: Settings) -> Iterator[Problem]:
    for rank in Rank:
        if rank not in settings.ranks:
            yield Problem('ranks', f'no {rank.value!r}', 'all three ranks')
    for name, shares in settings.ranks.items():
        if shares.floor > shares.cap:
            yield Problem(
                f'ranks.{name}.floor',
                repr(shares.floor),
                f'at most the cap of the rank ({shares.cap!r})',
            )
    floor_sum = sum(
        rank_shares.floor for rank_shares in settings.ranks.values()
    )
    if floor_sum > 1 + _FLOOR_SUM_TOLERANCE:
        yield Problem(
            'ranks',
            f'a sum of floors of {floor_sum!r}',
            'a sum of at most 1',
        )


def _service_problems(settings: Settings) -> Iterator[Problem]:
    for name, service in settings.services.items():
        yield from _limit_problems(f'services.{name}', service)


def _limit_problems(path: str, service: ServiceSettings) -> Iterator[Problem]:
    if service.connections < service.slots:
        yield Problem(
            f'{path}.connections',
            repr(service.connections),
            f'at least the slots of the service ({service.slots!r})',
        )
    if not service.servers:
        yield Problem(
            f'{path}.servers',
            'an empty table',
            'at least one backend server',
        )


def _duplicate_problems(settings: Settings) -> Iterator[Problem]:
    """Yield a problem for each server name or address used before."""
    servers = [
        (f'services.{service_name}.servers.{name}', name, server.address)
        for service_name, service in settings.services.items()
        for name, server in service.servers.items()
    ]
    yield from _repeated_values((path, name) for path, name, _ in servers)
    yield from _repeated_values(
        (f'{path}.address', address) for path, _, address in servers
    )


def _repeated_values(values: Iterable[tuple[str, str]]) -> Iterator[Problem]:
    """Yield a problem for each path whose value an earlier path has too."""
    first_path_by_value: dict[str, str] = {}
    for path, value in values:
        first_path = first_path_by_value.setdefault(value, path)
        if first_path != path:
            yield Problem(
                path,
                repr(value),
                f'a value that no other server has, but {first_path} has it',
            )
