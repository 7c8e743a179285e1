"""Settings as parts that are stored under the hash of their text."""

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

#: Servers or routes in a part. Twice as many would halve the store calls of
#: a first apply, but a change of one service would then exceed the 17 KB
#: that 54,000 changes a day leave of 11 KB/s.
ENTRY_LIMIT: Final = 48

#: Kinds of parts, the first word of a part's name.
_REST: Final = 'rest'
_ROUTES: Final = 'routes'
_SERVICE: Final = 'service'

PartHash = str


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """What the backend servers of a service share."""

    slots: int
    connections: int
    connection_cost_ms: float = 1


@dataclass(frozen=True, slots=True)
class Part:
    """A bounded piece of the settings.

    Attributes
    ----------
    service : str
        Service of `limits` and `servers`; empty in other parts.
    limits : ServiceLimits or None
        In exactly one part of each service.
    rest : Settings or None
        Everything but services and routes, in exactly one part.
    """

    service: ServiceName = ''
    limits: ServiceLimits | None = None
    servers: dict[ServerName, ServerSettings] = field(default_factory=dict)
    routes: dict[RouteName, RouteSettings] = field(default_factory=dict)
    rest: Settings | None = None


_DECODER: Final = msgspec.json.Decoder(Part)
_ENCODER: Final = msgspec.json.Encoder(order='sorted')


def part_hash(encoded: bytes) -> PartHash:
    """Return the name under which an encoded part is stored.

    Parameters
    ----------
    encoded : bytes
        Text of the part in UTF-8.

    Returns
    -------
    str
        XXH128 in hexadecimal. Equal parts have equal names; different parts
        share one with a probability of 2**-128 for each pair.
    """
    return xxhash.xxh3_128_hexdigest(encoded)


def split_settings(settings: Settings) -> dict[str, bytes]:
    """Encode settings as parts.

    Parameters
    ----------
    settings : Settings
        Whole configuration.

    Returns
    -------
    dict of str to bytes
        JSON of the parts by name. Equal settings yield equal parts, whatever
        the order of their tables.
    """
    parts: dict[str, dict[str, Any]] = {}
    parts[_REST] = {_REST: replace(settings, services={}, routes={})}
    for prefix, names in buckets(settings.routes, ENTRY_LIMIT).items():
        routes = {route: settings.routes[route] for route in names}
        parts[f'{_ROUTES}:{prefix}'] = {_ROUTES: routes}
    for service_name, service in settings.services.items():
        parts.update(_service_parts(service_name, service))
    return {name: _ENCODER.encode(part) for name, part in parts.items()}


def decode_part(encoded: bytes) -> Part | Failure:
    """Decode a part; unknown keys are ignored.

    Returns
    -------
    Part or Failure
        ``INVALID_SETTING`` for invalid JSON or a wrong type.
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
    groups = buckets(service.servers, ENTRY_LIMIT)
    if len(groups) == 1:
        yield f'{_SERVICE}:{name}', limits | {'servers': service.servers}
        return
    # The limits are apart, so that changing them rewrites one part.
    yield f'{_SERVICE}:{name}', limits
    for prefix, names in groups.items():
        servers = {server: service.servers[server] for server in names}
        yield (
            f'{_SERVICE}:{name}:{prefix}',
            {_SERVICE: name, 'servers': servers},
        )
