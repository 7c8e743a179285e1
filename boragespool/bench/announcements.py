"""Bytes and processor time of spreading server records at the target size.

``python -m boragespool.bench.announcements`` simulates the gossip decisions of
one daemon, without a network, with 67,000 records and 604 known members, and
encodes the messages that it would send.
"""

from __future__ import annotations

import random
import time
from dataclasses import replace
from typing import Any, Final

from boragespool import backends
from boragespool.controllers.backend_servers.record_exchange import (
    ExchangeOptions,
)
from boragespool.messages import (
    Holding,
    ServerAnnouncement,
    ServerDigest,
    ServerRecord,
    ServersWanted,
    ServerVersions,
)
from boragespool.peers.frames import (
    FRAME_VERSION,
    Frame,
    encode_frame,
    encode_message,
)
from boragespool.types import ServerState

_RECORD_COUNT: Final = 67_000
_MEMBER_COUNT: Final = 604
#: Changes of server records in the whole fleet. 2.4 per second correspond to
#: 11,000 daemon restarts a day, each with 2 changes of 9.6 servers.
_CHANGE_RATES_PER_S: Final = (0.1, 2.4, 24)
_SECOND_COUNT: Final = 200
_UNSPREAD_SHARE: Final = 0.02
_SEED: Final = 1


def main(*, short: bool = False) -> None:
    """Print the cost of one daemon for several rates of change."""
    count = _RECORD_COUNT // 10 if short else _RECORD_COUNT
    rng = random.Random(_SEED)
    table = _full_table(count)
    for changes_per_s in _CHANGE_RATES_PER_S:
        spread_costs = _simulate_spread(table, changes_per_s, rng)
        exchange_costs = _simulate_exchange(table, changes_per_s, rng)
        total_bytes_per_s = spread_costs[0] + exchange_costs[0]
        print(
            f'{count} records, view of {_MEMBER_COUNT}, {changes_per_s} changes/s: '
            f'changes {spread_costs[0]:.0f} B/s, digests {exchange_costs[0]:.0f} B/s, '
            f'in all {total_bytes_per_s:.0f} B/s sent by one daemon; decisions and '
            f'encoding {spread_costs[1] + exchange_costs[1]:.3%} of a core; largest '
            f'second {spread_costs[2]} bytes of changes',
        )


def _full_table(count: int) -> backends.RecordTable:
    table = backends.RecordTable()
    for number in range(count):
        table.merge(_record(number))
    return table


def _record(number: int) -> ServerRecord:
    return ServerRecord(
        server=f'lot-finder-{number:05}',
        service='lot-finder',
        data_centre=f'centre-{number % 14}',
        dispatcher=f'entry-{number % 7_000:04}',
        dispatcher_incarnation=1_796_380_000_000,
        sequence=1,
        incarnation=1_796_380_000_000,
        state=ServerState.SERVING,
        limit=5,
        holdings=(Holding(12, ((0, 2**31),)),),
    )


def _changed_record(
    table: backends.RecordTable,
    rng: random.Random,
) -> ServerRecord:
    old_record = rng.choice(tuple(table.by_server.values()))
    is_lost = rng.random() < 1 / 4
    state = ServerState.LOST if is_lost else ServerState.SERVING
    return replace(old_record, sequence=old_record.sequence + 1, state=state)


def _frame_size_bytes(message: Any, *, reply: bool = False) -> int:
    envelope = encode_message(message, 1, reply=reply)
    frame = Frame(
        FRAME_VERSION,
        'entry-0001',
        1_796_380_000_000,
        '127.0.0.1:20000',
        (envelope,),
    )
    return len(encode_frame(frame))


def _simulate_spread(
    table: backends.RecordTable,
    changes_per_s: float,
    rng: random.Random,
) -> tuple[float, float, int]:
    """Simulate the spreading of all changes.

    Returns
    -------
    (float, float, int)
        Bytes sent per second, share of a core, and the largest number of
        bytes sent in one second.
    """
    limits = ExchangeOptions().spread_limits
    queue = backends.SpreadQueue(limits, 0)
    hosts = tuple(f'entry-{number:04}' for number in range(_MEMBER_COUNT))
    due_count: float = 0
    bytes_by_second: list[int] = []
    cpu_s: float = 0
    for second in range(_SECOND_COUNT):
        due_count += changes_per_s
        changes = [_changed_record(table, rng) for _ in range(int(due_count))]
        due_count -= len(changes)
        cpu_start_s = time.process_time()
        bytes_by_second.append(
            _simulate_second(table, queue, changes, hosts, second, rng)
        )
        cpu_s += time.process_time() - cpu_start_s
    return (
        sum(bytes_by_second) / _SECOND_COUNT,
        cpu_s / _SECOND_COUNT,
        max(bytes_by_second),
    )


def _simulate_second(
    table: backends.RecordTable,
    queue: backends.SpreadQueue,
    changes: list[ServerRecord],
    hosts: tuple[str, ...],
    now_s: float,
    rng: random.Random,
) -> int:
    """Receive changes, send the due messages and return their bytes."""
    sent_bytes = 0
    limits = queue.limits
    for record in changes:
        table.merge(record)
        is_urgent = record.state in backends.OUT_OF_SERVICE
        queue.enqueue(record, is_urgent=is_urgent)
        if is_urgent:
            records = queue.take(limits.send_count, now_s, urgent_only=True)
            sent_bytes += _send_to_members(
                records, limits.send_count, hosts, rng
            )
    records = queue.take(limits.target_count, now_s, urgent_only=False)
    return sent_bytes + _send_to_members(
        records, limits.target_count, hosts, rng
    )


def _send_to_members(
    records: tuple[ServerRecord, ...],
    count: int,
    hosts: tuple[str, ...],
    rng: random.Random,
) -> int:
    """Encode an announcement for some random members; return its bytes."""
    if not records:
        return 0
    targets = backends.choose_targets(hosts, count, rng.random)
    return sum(_frame_size_bytes(ServerAnnouncement(records)) for _ in targets)


def _simulate_exchange(
    table: backends.RecordTable,
    changes_per_s: float,
    rng: random.Random,
) -> tuple[float, float]:
    """Simulate one digest exchange per interval and count both sides.

    The peer lacks the changes of the last 10 seconds and, of those in 600
    seconds, the share that spreading did not deliver.

    Returns
    -------
    (float, float)
        Bytes sent per second and share of a core.
    """
    options = ExchangeOptions()
    peer_table = backends.RecordTable()
    for record in table.by_server.values():
        peer_table.merge(record)
    change_count = int(
        changes_per_s * 10 + changes_per_s * 600 * _UNSPREAD_SHARE
    )
    for _ in range(change_count):
        table.merge(_changed_record(table, rng))
    cpu_start_s = time.process_time()
    count = backends.group_count(len(table.by_server))
    digest = table.digest(count)
    groups = backends.differing_groups(
        peer_table.digest(count), digest, options.exchange_limits, rng.random
    )
    # Use the regular limit; the larger one for catching up applies for hours
    # only.
    groups = groups[: options.exchange_limits.group_count]
    versions = backends.pack_versions(peer_table, groups, count)
    compared = backends.compare_versions(table, groups, count, versions)
    limits = options.exchange_limits
    sent = backends.limit_total_size(
        compared.to_send, limits.group_count * limits.size_bytes
    )
    sent_bytes = (
        _frame_size_bytes(ServerDigest(digest))
        + _frame_size_bytes(ServerVersions(groups, versions), reply=True)
        + _frame_size_bytes(ServersWanted(compared.wanted))
        + _frame_size_bytes(ServerAnnouncement(sent, is_repair=True))
    )
    cpu_s = time.process_time() - cpu_start_s
    interval_s = options.digest_interval_s
    return sent_bytes / interval_s, cpu_s / interval_s


if __name__ == '__main__':
    main()
