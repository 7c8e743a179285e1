"""Parser of the flag ``--servers`` of the backend server stand-ins."""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING, Any, Final

import msgspec

from boragespool.results import Failure, ResultCode
from boragespool.standins.backend import BackendSpec
from boragespool.standins.items import shard_range
from boragespool.standins.switches import with_changes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.types import ServiceName

_SERVER_PATTERN: Final = re.compile(
    r'(?P<name>[^=@/]+)=(?P<service>[^=@/]+)@(?P<address>[\d.]+:\d+)'
    r'(?:/(?P<shard>\d+))?',
)


def parse_servers(
    texts: Iterable[str],
    template: BackendSpec,
    shards: int,
) -> tuple[BackendSpec, ...] | Failure:
    """Parse the values of the flag ``--servers``.

    Parameters
    ----------
    texts : iterable of str
        ``name=service@ip:port`` with an optional ``/shard``, or a JSON list
        of objects with ``name``, ``service``, ``address`` and optionally
        ``shard``, ``shards``, ``connections``, ``seed`` and ``switches``.
    template : BackendSpec
        Defaults of all servers. The keys of its holdings are the index
        versions that each server holds.
    shards : int
        Number of equal shards of the key space. Server ``i`` of a service,
        counted from 0, holds shard ``i mod shards`` unless its text gives
        another one.

    Returns
    -------
    tuple of BackendSpec or Failure
        One per server in the given order, or ``INVALID_SETTING`` with the
        first invalid text.
    """
    specs: list[BackendSpec] = []
    count_by_service: Counter[ServiceName] = Counter()
    for text in texts:
        parsed = _parse_text(text)
        if isinstance(parsed, Failure):
            return parsed
        for server_fields in parsed:
            number = count_by_service[server_fields.get('service', '')]
            count_by_service[server_fields.get('service', '')] += 1
            spec = _build_spec(
                {'shard': number, 'shards': shards} | server_fields,
                template,
            )
            if isinstance(spec, Failure):
                return spec
            specs.append(spec)
    return tuple(specs)


def _parse_text(text: str) -> list[dict[str, Any]] | Failure:
    if text.startswith('['):
        try:
            return msgspec.json.decode(text, type=list[dict[str, Any]])
        except msgspec.MsgspecError as error:
            return _invalid_server(text, str(error))
    matched = _SERVER_PATTERN.fullmatch(text)
    if matched is None:
        return _invalid_server(
            text, 'allowed are name=service@ip:port[/shard] and a JSON list'
        )
    server_fields: dict[str, Any] = matched.groupdict()
    shard = server_fields.pop('shard')
    return [
        server_fields
        if shard is None
        else server_fields | {'shard': int(shard)}
    ]


def _build_spec(
    server_fields: dict[str, Any],
    template: BackendSpec,
) -> BackendSpec | Failure:
    spec_fields = dict(server_fields)
    shards = int(spec_fields.pop('shards'))
    shard_ranges = (
        shard_range(int(spec_fields.pop('shard')) % shards, shards),
    )
    switches_with_shard = replace(
        template.switches,
        holdings={
            version: shard_ranges for version in template.switches.holdings
        },
    )
    switches = with_changes(
        switches_with_shard, spec_fields.pop('switches', {})
    )
    if isinstance(switches, Failure):
        return _invalid_server(str(server_fields), switches.reason)
    try:
        return replace(template, switches=switches, **spec_fields)
    except TypeError as error:
        return _invalid_server(str(server_fields), str(error))


def _invalid_server(text: str, reason: str) -> Failure:
    return Failure(
        ResultCode.INVALID_SETTING,
        f'{text!r} is not a backend server: {reason}',
    )
