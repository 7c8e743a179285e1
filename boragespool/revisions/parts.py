"""Parts: settings split into small values, stored under their hash."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any, Final

import msgspec
import xxhash

from boragespool.results import Failure, ResultCode
from boragespool.revisions.buckets import buckets
from boragespool.settings import ServerSettings, Settings
from boragespool.settings.schema import RouteSettings
from boragespool.types import RouteName, ServerName, ServiceName

if TYPE_CHECKING:
    from collections.abc import Iterator

    from boragespool.settings import ServiceSettings

#: Maximum number of servers or routes in a part. Twice as many would halve the
#: store calls of a first apply, but a change of one service would then exceed
#: 17 KB, the size that is left for each if 54,000 changes a day share 11 KB/s.
ENTRIES_PER_PART: Final = 48

#: Kinds of parts. The name of a part starts with its kind.
_REST: Final = 'rest'
_ROUTES: Final = 'routes'
_SERVICE: Final = 'service'

#: Hash of the text of a part, an index or a history; see `part_hash`.
PartHash = str


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Settings of a service that apply to all its backend servers."""

    slots: int
    connections: int
    connection_cost_ms: float = 1


@dataclass(frozen=True, slots=True)
class Part:
    """A part of the settings with a limited number of entries.

    Attributes
    ----------
    service : str
        Name of the service of `limits` and `servers`; empty if the part has
        neither.
    limits : ServiceLimits or None
        Limits of the service; set in exactly one part of each service.
    rest : Settings or None
        All settings except services and routes; set in exactly one part.
    """

    service: ServiceName = ''
    limits: ServiceLimits | None = None
    servers: dict[ServerName, ServerSettings] = field(default_factory=dict)
    routes: dict[RouteName, RouteSettings] = field(default_factory=dict)
    rest: Settings | None = None


_DECODER: Final = msgspec.json.Decoder(Part)
_ENCODER: Final = msgspec.json.Encoder(order='sorted')


def part_hash(encoded: bytes) -> PartHash:
    """Return the hash under which an encoded part is stored.

    Parameters
    ----------
    encoded : bytes
        JSON of a part, an index or a history in UTF-8.

    Returns
    -------
    str
        XXH128 in hexadecimal. Equal texts have equal hashes; two different
        texts have the same one with a probability of 2**-128.
    """
    return xxhash.xxh3_128_hexdigest(encoded)


def split_settings(settings: Settings) -> dict[str, bytes]:
    """Split settings into encoded parts.

    Parameters
    ----------
    settings : Settings
        Whole configuration.

    Returns
    -------
    dict of str to bytes
        JSON of the parts by name. Equal settings yield equal parts,
        regardless of the order of their tables.
    """
    parts: dict[str, dict[str, Any]] = {}
    parts[_REST] = {_REST: replace(settings, services={}, routes={})}
    for prefix, names in buckets(settings.routes, ENTRIES_PER_PART).items():
        routes = {route: settings.routes[route] for route in names}
        parts[f'{_ROUTES}:{prefix}'] = {_ROUTES: routes}
    for service_name, service in settings.services.items():
        parts.update(_service_parts(service_name, service))
    return {name: _ENCODER.encode(part) for name, part in parts.items()}


def decode_part(encoded: bytes) -> Part | Failure:
    """Decode a part, ignoring unknown keys.

    Returns
    -------
    Part or Failure
        ``INVALID_SETTING`` for invalid JSON or a value of a wrong type.
    """
    try:
        return _DECODER.decode(encoded)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(
            ResultCode.INVALID_SETTING,
            f'a part of a revision is invalid: {error}',
        )


def _service_parts(
    name: ServiceName,
    service: ServiceSettings,
) -> Iterator[tuple[str, dict[str, Any]]]:
    limits = {
        _SERVICE: name,
        'limits': ServiceLimits(
            service.slots,
            service.connections,
            service.connection_cost_ms,
        ),
    }
    groups = buckets(service.servers, ENTRIES_PER_PART)
    if len(groups) == 1:
        yield f'{_SERVICE}:{name}', limits | {'servers': service.servers}
        return
    # The limits get a part of their own, so that changing them rewrites only
    # that part.
    yield f'{_SERVICE}:{name}', limits
    for prefix, names in groups.items():
        servers = {server: service.servers[server] for server in names}
        yield (
            f'{_SERVICE}:{name}:{prefix}',
            {_SERVICE: name, 'servers': servers},
        )
