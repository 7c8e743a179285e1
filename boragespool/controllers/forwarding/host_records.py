"""Decoding of the daemons' records in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from boragespool.addresses import is_address
from boragespool.forwarding import HostRecord
from boragespool.item_decoding import decode_json, is_name, shorten

if TYPE_CHECKING:
    from boragespool.item_store import Item
    from boragespool.types import HostName

#: Maximum processing capacity of a host, in cores of the usual speed.
_MAX_PROCESSOR_CORES: Final = 10_000


def decode_record(host: HostName, item: Item) -> HostRecord | str:
    """Return the record of a host, or the reason why it cannot be used."""
    record = decode_json(item.value, HostRecord)
    if isinstance(record, str):
        return record
    addresses = [record.caller_address]
    if record.control_address:
        addresses.append(record.control_address)
    if not all(map(is_address, addresses)):
        return f'{shorten(str(addresses))} are not all IPv4 ip:port'
    names = (record.host, record.data_centre, record.region)
    if record.host != host or not all(map(is_name, names)):
        return f'{shorten(str(names))} are not the names of a host'
    if not 0 < record.processor_cores <= _MAX_PROCESSOR_CORES:
        return f'processor_cores is {record.processor_cores!r}'
    return record
