"""Backend servers as the command line names them."""

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

_PATTERN: Final = re.compile(
    r'(?P<name>[^=@/]+)=(?P<service>[^=@/]+)@(?P<address>[\d.]+:\d+)'
    r'(?:/(?P<shard>\d+))?',
)


def parse_servers(
    texts: Iterable[str],
    template: BackendSpec,
    shards: int,
) -> tuple[BackendSpec, ...] | Failure:
    """Return the backend servers that the flag ``--servers`` names.

    Parameters
    ----------
    texts : iterable of str
        ``name=service@ip:port`` with an optional ``/shard``, or a JSON list
        of objects with ``name``, ``service``, ``address`` and optionally
        ``shard``, ``shards``, ``connections``, ``seed`` and ``switches``.
    template : BackendSpec
        Settings of all servers that they do not state themselves; its
        holdings name the index versions.
    shards : int
        Equal parts of the key space. The server number ``i`` of a service,
        counted from 0, holds part ``i mod shards`` unless it states another.

    Returns
    -------
    tuple of BackendSpec or Failure
        ``INVALID_SETTING`` names the text that is wrong.
    """
    specs: list[BackendSpec] = []
    count_by_service: Counter[ServiceName] = Counter()
    for text in texts:
        described = _describe(text)
        if isinstance(described, Failure):
            return described
        for given in described:
            number = count_by_service[given.get('service', '')]
            count_by_service[given.get('service', '')] += 1
            spec = _build(
                {'shard': number, 'shards': shards} | given,
                template,
            )
            if isinstance(spec, Failure):
                return spec
            specs.append(spec)
    return tuple(specs)


def _describe(text: str) -> list[dict[str, Any]] | Failure:
    if text.startswith('['):
        try:
            return msgspec.json.decode(text, type=list[dict[str, Any]])
        except msgspec.MsgspecError as error:
            return _invalid(text, str(error))
    matched = _PATTERN.fullmatch(text)
    if matched is None:
        return _invalid(text, 'allowed are name=service@ip:port[/shard], JSON')
    given: dict[str, Any] = matched.groupdict()
    shard = given.pop('shard')
    return [given if shard is None else given | {'shard': int(shard)}]


def _build(
    given: dict[str, Any],
    template: BackendSpec,
) -> BackendSpec | Failure:
    fields = dict(given)
    shards = int(fields.pop('shards'))
    held = (shard_range(int(fields.pop('shard')) % shards, shards),)
    sharded = replace(
        template.switches,
        holdings={version: held for version in template.switches.holdings},
    )
    switches = with_changes(sharded, fields.pop('switches', {}))
    if isinstance(switches, Failure):
        return _invalid(str(given), switches.reason)
    try:
        return replace(template, switches=switches, **fields)
    except TypeError as error:
        return _invalid(str(given), str(error))


def _invalid(text: str, reason: str) -> Failure:
    return Failure(
        ResultCode.INVALID_SETTING,
        f'{text!r} is not a backend server: {reason}',
    )
