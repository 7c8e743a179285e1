"""Records of all backend servers with hashes that show differences.

The records are divided into groups by a hash of the server's name. The hash
of a group is the exclusive or of the hashes of its records, so that it is
kept up to date step by step and does not depend on the order of changes.
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

#: With 67,000 records a digest of 512 groups has 2 KB and the versions of one
#: group, 131 records, also have 2 KB.
GROUP_COUNT: Final = 512
#: Bytes of the hash of one group in a digest.
HASH_BYTES: Final = 4
_RECORDS_PER_GROUP: Final = 64


class RecordTable:
    """Newest known record of each backend server.

    Attributes
    ----------
    by_server : dict of str to ServerRecord
        Changed by `merge` and `keep_only` alone.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.by_server: dict[ServerName, ServerRecord] = {}
        self._hashes = [0 for _ in range(GROUP_COUNT)]
        self._groups: tuple[dict[int, ServerName], ...] = tuple(
            {} for _ in range(GROUP_COUNT)
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
            self._hashes[group] ^= record_hash(known)
        self._hashes[group] ^= record_hash(incoming)
        self._groups[group][key] = server
        self.by_server[server] = incoming
        return True

    def keep_only(self, servers: Collection[ServerName]) -> None:
        """Forget servers that are no longer in the settings."""
        for server in self.by_server.keys() - servers:
            key = server_key(server)
            gone = self.by_server.pop(server)
            self._hashes[key % GROUP_COUNT] ^= record_hash(gone)
            self._groups[key % GROUP_COUNT].pop(key)

    def digest(self, count: int) -> bytes:
        """Return the hashes of `count` groups, a power of two.

        Smaller counts join groups, so that tables of different sizes can be
        compared.
        """
        folded = [0 for _ in range(count)]
        for group, group_hash in enumerate(self._hashes):
            folded[group % count] ^= group_hash
        return struct.pack(f'<{count}I', *folded)

    def group(self, group: int, count: int) -> dict[int, ServerRecord]:
        """Return the records of one of `count` groups by the server's key."""
        return {
            key: self.by_server[server]
            for part in range(group, GROUP_COUNT, count)
            for key, server in self._groups[part].items()
        }

    def find(self, keys: Iterable[int]) -> tuple[ServerRecord, ...]:
        """Return the known records of servers given by their keys."""
        servers = (self._groups[key % GROUP_COUNT].get(key) for key in keys)
        return tuple(
            self.by_server[server] for server in servers if server is not None
        )


def group_count(record_count: int) -> int:
    """Return the groups of a digest for a number of records."""
    count = 1
    while count < GROUP_COUNT and count * _RECORDS_PER_GROUP < record_count:
        count *= 2
    return count


def server_key(server: ServerName) -> int:
    """Return the 64-bit key of a server."""
    return xxhash.xxh64_intdigest(server.encode())


def record_hash(record: ServerRecord) -> int:
    """Return the 32-bit hash of what names a version of a record."""
    return xxhash.xxh32_intdigest(
        f'{record.server}|{record.sequence}|'
        f'{record.dispatcher_incarnation}|{record.dispatcher}'.encode(),
    )
