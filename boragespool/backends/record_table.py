"""Table of the records of all backend servers, with hashes for comparison.

The records are divided into groups by a hash of the server's name. The hash of
a group is the exclusive or of the hashes of its records, so that it can be
updated incrementally and does not depend on the order of changes.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Final

import xxhash

from boragespool.backends.records import newer_record

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from boragespool.messages import ServerRecord
    from boragespool.types import ServerName

#: Number of groups in a table. With 67,000 records a digest of 512 groups has
#: 2 KB, and the versions of one group, 131 records, have 2 KB as well.
GROUP_COUNT: Final = 512
#: Bytes of the hash of one group in a digest.
HASH_BYTES: Final = 4
_RECORDS_PER_GROUP: Final = 64


class RecordTable:
    """Newest known record of each backend server.

    Attributes
    ----------
    by_server : dict of str to ServerRecord
        Only `merge` and `keep_only` may change it.
    """

    def __init__(self) -> None:
        """Set up an empty table."""
        self.by_server: dict[ServerName, ServerRecord] = {}
        self._group_hashes = [0 for _ in range(GROUP_COUNT)]
        self._servers_by_key_by_group: tuple[dict[int, ServerName], ...] = (
            tuple({} for _ in range(GROUP_COUNT))
        )

    def merge(self, incoming: ServerRecord) -> bool:
        """Keep the incoming record if it is newer.

        Returns
        -------
        bool
            Whether it was kept.
        """
        server = incoming.server
        known = self.by_server.get(server)
        if newer_record(known, incoming) is known:
            return False
        key = server_key(server)
        group = key % GROUP_COUNT
        if known is not None:
            self._group_hashes[group] ^= record_hash(known)
        self._group_hashes[group] ^= record_hash(incoming)
        self._servers_by_key_by_group[group][key] = server
        self.by_server[server] = incoming
        return True

    def keep_only(self, servers: Collection[ServerName]) -> None:
        """Remove servers that are no longer in the settings."""
        for server in self.by_server.keys() - servers:
            key = server_key(server)
            removed = self.by_server.pop(server)
            self._group_hashes[key % GROUP_COUNT] ^= record_hash(removed)
            self._servers_by_key_by_group[key % GROUP_COUNT].pop(key)

    def digest(self, count: int) -> bytes:
        """Return the hashes of `count` groups, a power of two.

        Smaller counts merge groups, so that tables of different sizes can be
        compared.
        """
        merged_hashes = [0 for _ in range(count)]
        for group, group_hash in enumerate(self._group_hashes):
            merged_hashes[group % count] ^= group_hash
        return struct.pack(f'<{count}I', *merged_hashes)

    def group(self, group: int, count: int) -> dict[int, ServerRecord]:
        """Return the records of one of `count` groups by key of the server."""
        return {
            key: self.by_server[server]
            for own_group in range(group, GROUP_COUNT, count)
            for key, server in self._servers_by_key_by_group[own_group].items()
        }

    def find(self, keys: Iterable[int]) -> tuple[ServerRecord, ...]:
        """Return the records of the servers with these keys, if known."""
        servers = (
            self._servers_by_key_by_group[key % GROUP_COUNT].get(key)
            for key in keys
        )
        return tuple(
            self.by_server[server] for server in servers if server is not None
        )


def group_count(record_count: int) -> int:
    """Return the number of groups in a digest for a number of records."""
    count = 1
    while count < GROUP_COUNT and count * _RECORDS_PER_GROUP < record_count:
        count *= 2
    return count


def server_key(server: ServerName) -> int:
    """Return the 64-bit key of a server, a hash of its name."""
    return xxhash.xxh64_intdigest(server.encode())


def record_hash(record: ServerRecord) -> int:
    """Return the 32-bit hash of what identifies a version of a record."""
    return xxhash.xxh32_intdigest(
        f'{record.server}|{record.sequence}|'
        f'{record.dispatcher_incarnation}|{record.dispatcher}'.encode(),
    )
