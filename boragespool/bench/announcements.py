"""Bytes and time of spreading server records at the target's size.

``python -m boragespool.bench.announcements`` runs the decisions alone, with
67,000 records and a view of 604 members, and encodes what they send.
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

_RECORDS: Final = 67_000
_VIEW: Final = 604
#: 11,000 restarted daemons a day, each of 9.6 servers twice, are 2.4 changes
#: a second in the whole fleet.
_CHANGES_PER_S: Final = (0.1, 2.4, 24)
_PERIODS: Final = 200
_MISSING_SHARE: Final = 0.02
_SEED: Final = 1


def main(*, short: bool = False) -> None:
    """Print bytes per second and processor time for several rates."""
    count = _RECORDS // 10 if short else _RECORDS
    source = random.Random(_SEED)
    table = _full_table(count)
    for rate in _CHANGES_PER_S:
        spread = _spread(table, rate, source)
        exchanged = _exchange(table, rate, source)
        total = spread[0] + exchanged[0]
        print(
            f'{count} records, view of {_VIEW}, {rate} changes/s: '
            f'changes {spread[0]:.0f} B/s, digests {exchanged[0]:.0f} B/s, '
            f'in all {total:.0f} B/s sent by one daemon; decisions and '
            f'encoding {spread[1] + exchanged[1]:.3%} of a core; largest '
            f'second {spread[2]} bytes of changes',
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


def _newer(
    table: backends.RecordTable,
    source: random.Random,
) -> ServerRecord:
    known = source.choice(tuple(table.by_server.values()))
    lost = source.random() < 1 / 4
    state = ServerState.LOST if lost else ServerState.SERVING
    return replace(known, sequence=known.sequence + 1, state=state)


def _size_bytes(message: Any, *, reply: bool = False) -> int:
    envelope = encode_message(message, 1, reply=reply)
    frame = Frame(
        FRAME_VERSION,
        'entry-0001',
        1_796_380_000_000,
        '127.0.0.1:20000',
        (envelope,),
    )
    return len(encode_frame(frame))


def _spread(
    table: backends.RecordTable,
    rate: float,
    source: random.Random,
) -> tuple[float, float, int]:
    """Pass on all changes; return bytes/s, core share, largest second."""
    limits = ExchangeOptions().spread_limits
    queue = backends.SpreadQueue(limits, 0)
    hosts = tuple(f'entry-{number:04}' for number in range(_VIEW))
    waiting: float = 0
    sizes: list[int] = []
    used_s: float = 0
    for period in range(_PERIODS):
        waiting += rate
        news = [_newer(table, source) for _ in range(int(waiting))]
        waiting -= len(news)
        started_s = time.process_time()
        sizes.append(_one_second(table, queue, news, hosts, period, source))
        used_s += time.process_time() - started_s
    return sum(sizes) / _PERIODS, used_s / _PERIODS, max(sizes)


def _one_second(
    table: backends.RecordTable,
    queue: backends.SpreadQueue,
    news: list[ServerRecord],
    hosts: tuple[str, ...],
    now_s: float,
    source: random.Random,
) -> int:
    """Receive changes one by one and send what is due; return the bytes."""
    sent_bytes = 0
    limits = queue.limits
    for record in news:
        table.merge(record)
        is_urgent = record.state in backends.OUT_OF_SERVICE
        queue.enqueue(record, is_urgent=is_urgent)
        if is_urgent:
            records = queue.take(limits.send_count, now_s, urgent_only=True)
            sent_bytes += _sent_bytes(records, limits.send_count, hosts, source)
    records = queue.take(limits.target_count, now_s, urgent_only=False)
    return sent_bytes + _sent_bytes(records, limits.target_count, hosts, source)


def _sent_bytes(
    records: tuple[ServerRecord, ...],
    count: int,
    hosts: tuple[str, ...],
    source: random.Random,
) -> int:
    """Choose the members and encode the message for each of them."""
    if not records:
        return 0
    targets = backends.choose_targets(hosts, count, source.random)
    return sum(_size_bytes(ServerAnnouncement(records)) for _ in targets)


def _exchange(
    table: backends.RecordTable,
    rate: float,
    source: random.Random,
) -> tuple[float, float]:
    """Ask for and answer one comparison per interval; return B/s and share.

    The other side lacks the changes of the last seconds and the share of
    the older ones that spreading missed.
    """
    options = ExchangeOptions()
    other = backends.RecordTable()
    for record in table.by_server.values():
        other.merge(record)
    lacking = int(rate * 10 + rate * 600 * _MISSING_SHARE)
    for _ in range(lacking):
        table.merge(_newer(table, source))
    started_s = time.process_time()
    count = backends.group_count(len(table.by_server))
    digest = table.digest(count)
    groups = backends.differing_groups(
        other.digest(count), digest, options.exchange_limits, source.random
    )
    # The allowance for catching up lasts for hours, not for ever.
    groups = groups[: options.exchange_limits.group_count]
    versions = backends.pack_versions(other, groups, count)
    compared = backends.compare_versions(table, groups, count, versions)
    limits = options.exchange_limits
    sent = backends.limit_total_size(
        compared.to_send, limits.group_count * limits.size_bytes
    )
    sent_bytes = (
        _size_bytes(ServerDigest(digest))
        + _size_bytes(ServerVersions(groups, versions), reply=True)
        + _size_bytes(ServersWanted(compared.wanted))
        + _size_bytes(ServerAnnouncement(sent, is_repair=True))
    )
    used_s = time.process_time() - started_s
    interval_s = options.digest_interval_s
    return sent_bytes / interval_s, used_s / interval_s


if __name__ == '__main__':
    main()
