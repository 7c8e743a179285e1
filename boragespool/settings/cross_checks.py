"""Checks that concern more than one option."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.settings.problems import Problem
from boragespool.types import Rank

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from boragespool.settings.schema import ServiceSettings, Settings

# Decimal shares such as 0.1 + 0.2 + 0.7 exceed 1 by a rounding error.
_ROUNDING: Final = 1e-9

#: Each new name is looked up in every service; with more names than this,
#: comparing all names at once takes less time (67,000 names in 1,100
#: services took 18 s one by one).
_LOOKED_UP_NAMES: Final = 100


def cross_problems(
    settings: Settings,
    identities: Identities | None = None,
) -> Iterator[Problem]:
    """Yield every conflict between options.

    Parameters
    ----------
    settings : Settings
        Settings whose single values follow their rules.
    identities : Identities, optional
        Names and addresses of servers that may not be unique; all of them
        if it is left out.

    Yields
    ------
    Problem
        Without file name.
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
class Identities:
    """What must be unique over the servers of all services."""

    names: frozenset[str]
    addresses: frozenset[str]


def new_identities(removed: Settings, added: Settings) -> Identities:
    """Return the names and addresses that a change does not just keep.

    Parameters
    ----------
    removed, added : Settings
        Servers that a change takes away and brings.

    Returns
    -------
    Identities
        Those that it brings more often than it takes them away. All others
        are as unique as before.
    """
    names = Counter(_names(added)) - Counter(_names(removed))
    addresses = Counter(_addresses(added)) - Counter(_addresses(removed))
    return Identities(frozenset(names), frozenset(addresses))


def _names(settings: Settings) -> Iterator[str]:
    for service in settings.services.values():
        yield from service.servers


def _addresses(settings: Settings) -> Iterator[str]:
    for service in settings.services.values():
        for server in service.servers.values():
            yield server.address


def _has_duplicates(settings: Settings, identities: Identities | None) -> bool:
    if identities is None or len(identities.names) > _LOOKED_UP_NAMES:
        return any(
            len(set(values)) < len(values)
            for values in (list(_names(settings)), list(_addresses(settings)))
        )
    names = (
        name
        for name in identities.names
        for service in settings.services.values()
        if name in service.servers
    )
    if _exceeds(names, len(identities.names)):
        return True
    new = identities.addresses
    if not new:
        return False
    addresses = (
        server.address
        for service in settings.services.values()
        for server in service.servers.values()
        if server.address in new
    )
    return _exceeds(addresses, len(new))


def _exceeds(values: Iterable[str], count: int) -> bool:
    return sum(1 for _ in values) > count


def _route_problems(settings: Settings) -> Iterator[Problem]:
    names = ', '.join(map(repr, sorted(settings.services))) or 'none'
    for name, route in settings.routes.items():
        if route.service not in settings.services:
            yield Problem(
                f'routes.{name}.service',
                repr(route.service),
                f'a configured service: {names}',
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
    total = sum(rank_shares.floor for rank_shares in settings.ranks.values())
    if total > 1 + _ROUNDING:
        yield Problem(
            'ranks',
            f'a sum of floors of {total!r}',
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
    """Server names and addresses are unique over all services."""
    servers = [
        (f'services.{service_name}.servers.{name}', name, server.address)
        for service_name, service in settings.services.items()
        for name, server in service.servers.items()
    ]
    yield from _repeated((path, name) for path, name, _ in servers)
    yield from _repeated(
        (f'{path}.address', address) for path, _, address in servers
    )


def _repeated(values: Iterable[tuple[str, str]]) -> Iterator[Problem]:
    """Yield the second and further paths that have the same value."""
    first_path_by_value: dict[str, str] = {}
    for path, value in values:
        first_path = first_path_by_value.setdefault(value, path)
        if first_path != path:
            yield Problem(
                path,
                repr(value),
                f'a value that no other server has, but {first_path} has it',
            )
