"""Anti-entropy between the record tables of two daemons.

After Demers et al., "Epidemic algorithms for replicated database maintenance",
PODC 1987. The records are divided into groups. A daemon sends a digest, that
is a hash of each group. The other daemon answers with the versions of the
records in a few groups that differ, and each gets the records that it lacks.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from boragespool.backends.record_table import (
    GROUP_COUNT,
    HASH_BYTES,
    record_hash,
)
from boragespool.types import ServerState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from boragespool.backends.record_table import RecordTable
    from boragespool.messages import ServerRecord

OUT_OF_SERVICE: Final = frozenset((ServerState.DRAINING, ServerState.LOST))
#: Version of a record: key of the server, sequence number and record hash.
_VERSION_STRUCT: Final = struct.Struct('<QII')
_SEQUENCE_MODULUS: Final = 2**32
#: Sequence number and hash that stand for an unknown record.
_UNKNOWN_VERSION: Final = (-1, -1)
#: Encoded size of a record without its texts and ranges, and of one range.
_RECORD_BYTES: Final = 190
_RANGE_BYTES: Final = 24


@dataclass(frozen=True, slots=True)
class ExchangeLimits:
    """Bounds of one exchange of records.

    Attributes
    ----------
    group_count : int
        Number of groups compared when few differ.
    catch_up_group_count : int
        Number of groups compared when more than a quarter differ, as after a
        start of the whole fleet.
    size_bytes : int
        Size of the records sent for each compared group, in bytes.
    catch_up_bytes_per_s, catch_up_burst_bytes : int
        Rate limit of what is sent while more groups are compared. The burst
        has room for all records of a fleet that starts, 16 MB, and half as
        much again for their versions.
    """

    group_count: int = 2
    catch_up_group_count: int = 16
    size_bytes: int = 4_096
    catch_up_bytes_per_s: int = 1_000
    catch_up_burst_bytes: int = 24_000_000


@dataclass(frozen=True, slots=True)
class VersionComparison:
    """Result of comparing the versions of another daemon with a table.

    Attributes
    ----------
    to_send : tuple of ServerRecord
        Own records that may be newer than those of the other daemon.
    wanted : tuple of int
        Keys of servers whose records may be newer at the other daemon.
    """

    to_send: tuple[ServerRecord, ...] = ()
    wanted: tuple[int, ...] = ()


def is_valid_group_count(count: int) -> bool:
    """Return whether a digest may have this number of groups."""
    return 0 < count <= GROUP_COUNT and count.bit_count() == 1


def differing_groups(
    own: bytes,
    other: bytes,
    limits: ExchangeLimits,
    draw: Callable[[], float],
) -> tuple[int, ...]:
    """Return the groups whose records are compared, a random one first.

    Parameters
    ----------
    own, other : bytes
        Digests with the same number of groups.
    limits : ExchangeLimits
        Bounds of the exchange.
    draw : callable
        Returns a random number in ``[0, 1)``. The first group is random so
        that a group which differs for long does not keep the others from being
        compared.
    """
    differing = [
        start // HASH_BYTES
        for start in range(0, len(own), HASH_BYTES)
        if own[start : start + HASH_BYTES] != other[start : start + HASH_BYTES]
    ]
    limit = limits.group_count
    if 4 * len(differing) * HASH_BYTES > len(own):
        limit = limits.catch_up_group_count
    first = int(draw() * len(differing))
    return tuple((differing[first:] + differing[:first])[:limit])


def pack_versions(
    table: RecordTable,
    groups: Iterable[int],
    count: int,
) -> bytes:
    """Return the encoded versions of the records in some of `count` groups."""
    return b''.join(
        _VERSION_STRUCT.pack(
            key, record.sequence % _SEQUENCE_MODULUS, record_hash(record)
        )
        for group in groups
        for key, record in table.group(group, count).items()
    )


def compare_versions(
    table: RecordTable,
    groups: Iterable[int],
    count: int,
    versions: bytes,
) -> VersionComparison:
    """Compare the versions of another daemon with a table.

    Parameters
    ----------
    table : RecordTable
        Own records.
    groups : iterable of int
        Groups to compare, of `count` groups.
    count : int
        Number of groups in the digest.
    versions : bytes
        Result of `pack_versions` at the other daemon.

    Returns
    -------
    VersionComparison
        Records with the same sequence number and different hashes are both
        sent and wanted, as only the whole records show which one is newer.
    """
    other_versions = {
        key: (sequence, other_hash)
        for key, sequence, other_hash in _VERSION_STRUCT.iter_unpack(versions)
    }
    own_records: dict[int, ServerRecord] = {}
    for group in groups:
        own_records |= table.group(group, count)
    differing = {
        key: record
        for key, record in own_records.items()
        if other_versions.get(key, _UNKNOWN_VERSION)[1] != record_hash(record)
    }
    return VersionComparison(
        tuple(
            record
            for key, record in differing.items()
            if record.sequence >= other_versions.get(key, _UNKNOWN_VERSION)[0]
        ),
        (
            *(key for key in other_versions if key not in own_records),
            *(
                key
                for key, record in differing.items()
                if record.sequence
                <= other_versions.get(key, _UNKNOWN_VERSION)[0]
            ),
        ),
    )


def limit_total_size(
    records: Iterable[ServerRecord],
    size_bytes: int,
) -> tuple[ServerRecord, ...]:
    """Return the records that fit into a size, but at least one if any.

    Records of servers that are out of service go first.
    """
    chosen: list[ServerRecord] = []
    ordered = sorted(
        records, key=lambda record: record.state not in OUT_OF_SERVICE
    )
    for record in ordered:
        size_bytes -= record_size_bytes(record)
        if chosen and size_bytes < 0:
            break
        chosen.append(record)
    return tuple(chosen)


def record_size_bytes(record: ServerRecord) -> int:
    """Return the approximate encoded size of a record, in bytes."""
    texts = (
        record.server,
        record.service,
        record.data_centre,
        record.dispatcher,
    )
    ranges = sum(1 + len(holding.ranges) for holding in record.holdings)
    return _RECORD_BYTES + sum(map(len, texts)) + _RANGE_BYTES * ranges
