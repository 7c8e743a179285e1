"""Which records two daemons exchange after comparing digests.

Anti-entropy (Demers et al., "Epidemic algorithms for replicated database
maintenance", PODC 1987): a daemon sends the hashes of its groups, the other
answers with the versions of a few groups that differ, and each gets the
records that it lacks.
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
#: Server key, sequence number and record hash.
_VERSION: Final = struct.Struct('<QII')
_VERSION_LIMIT: Final = 2**32
#: Sequence number and hash in place of those of a record that is not known.
_ABSENT: Final = (-1, -1)
#: Encoded bytes of a record without its texts and ranges, and of one range.
_RECORD_BYTES: Final = 190
_RANGE_BYTES: Final = 24


@dataclass(frozen=True, slots=True)
class ExchangeLimits:
    """Bounds of one exchange.

    Attributes
    ----------
    groups : int
        Groups compared when few differ.
    catch_up_groups : int
        Groups compared when more than a quarter differ, as after a start of
        the whole fleet.
    size_bytes : int
        Records sent for each compared group, in bytes.
    catch_up_bytes_per_s, catch_up_burst_bytes : int
        Rate of what is sent while more groups are compared. The burst
        carries all records of a fleet that starts, 16 MB, and half as much
        again for their versions.
    """

    groups: int = 2
    catch_up_groups: int = 16
    size_bytes: int = 4_096
    catch_up_bytes_per_s: int = 1_000
    catch_up_burst_bytes: int = 24_000_000


@dataclass(frozen=True, slots=True)
class Comparison:
    """Result of comparing versions with a table.

    Attributes
    ----------
    to_send : tuple of ServerRecord
        Records that are newer here.
    wanted : tuple of int
        Keys of servers whose records may be newer there.
    """

    to_send: tuple[ServerRecord, ...] = ()
    wanted: tuple[int, ...] = ()


def is_valid_group_count(count: int) -> bool:
    """Tell whether a digest may have this number of groups."""
    return 0 < count <= GROUP_COUNT and count.bit_count() == 1


def differing_groups(
    own: bytes,
    other: bytes,
    limits: ExchangeLimits,
    draw: Callable[[], float],
) -> tuple[int, ...]:
    """Return the groups to compare, beginning at a random one.

    Parameters
    ----------
    own, other : bytes
        Digests with the same number of groups.
    limits : ExchangeLimits
        Bounds of the exchange.
    draw : callable
        Returns a random number in ``[0, 1)``. A group that differs for long
        must not keep the others from being compared.
    """
    differing = [
        start // HASH_BYTES
        for start in range(0, len(own), HASH_BYTES)
        if own[start : start + HASH_BYTES] != other[start : start + HASH_BYTES]
    ]
    limit = limits.groups
    if 4 * len(differing) * HASH_BYTES > len(own):
        limit = limits.catch_up_groups
    first = int(draw() * len(differing))
    return tuple((differing[first:] + differing[:first])[:limit])


def pack_versions(
    table: RecordTable,
    groups: Iterable[int],
    count: int,
) -> bytes:
    """Return the versions of all records in some of `count` groups."""
    return b''.join(
        _VERSION.pack(
            key, record.sequence % _VERSION_LIMIT, record_hash(record)
        )
        for group in groups
        for key, record in table.group(group, count).items()
    )


def compare_versions(
    table: RecordTable,
    groups: Iterable[int],
    count: int,
    versions: bytes,
) -> Comparison:
    """Compare the versions of another daemon with a table.

    Parameters
    ----------
    table : RecordTable
        Own records.
    groups : iterable of int
        Groups that were compared, of `count`.
    count : int
        Groups of the digest.
    versions : bytes
        Result of `pack_versions` at the other daemon.

    Returns
    -------
    Comparison
        Versions with the same sequence number and different hashes are sent
        and wanted, as only the records show which is newer.
    """
    there = {
        key: (sequence, seen_hash)
        for key, sequence, seen_hash in _VERSION.iter_unpack(versions)
    }
    here: dict[int, ServerRecord] = {}
    for group in groups:
        here |= table.group(group, count)
    differing = {
        key: record
        for key, record in here.items()
        if there.get(key, _ABSENT)[1] != record_hash(record)
    }
    return Comparison(
        tuple(
            record
            for key, record in differing.items()
            if record.sequence >= there.get(key, _ABSENT)[0]
        ),
        (
            *(key for key in there if key not in here),
            *(
                key
                for key, record in differing.items()
                if record.sequence <= there.get(key, _ABSENT)[0]
            ),
        ),
    )


def limit_total_size(
    records: Iterable[ServerRecord],
    size_bytes: int,
) -> tuple[ServerRecord, ...]:
    """Return the records that fit, at least one; those out of use first."""
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
    """Return about how many bytes a record has in a message."""
    texts = (
        record.server,
        record.service,
        record.data_centre,
        record.dispatcher,
    )
    ranges = sum(1 + len(holding.ranges) for holding in record.holdings)
    return _RECORD_BYTES + sum(map(len, texts)) + _RANGE_BYTES * ranges
