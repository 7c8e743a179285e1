"""Reads the parts of a revision from the store at a limited rate."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Final

from boragespool.controllers.configuration.configuration_store import (
    StoredAnswer,
)
from boragespool.controllers.pauses import pause
from boragespool.results import Failure
from boragespool.revisions import part_hash, part_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from boragespool.controllers.configuration.configuration_store import (
        ValueSource,
    )
    from boragespool.revisions import PartHash
    from boragespool.timers import TimerService

#: Number of parts in a batch, and the time between two batches in seconds:
#: at most 400 calls per second. Three watchers that start without any part
#: stay below the 2,000 reads per second that the store allows.
BATCH_SIZE: Final = 20
BATCH_INTERVAL_S: Final = 0.05


async def read_parts(
    store: ValueSource,
    parts: Iterable[PartHash],
    timers: TimerService,
) -> tuple[dict[PartHash, bytes], Failure | None]:
    """Read parts in batches; stop after a batch with a failed call.

    Parameters
    ----------
    store : ValueSource
        Client of the platform's store.
    parts : iterable of str
        Hashes of the parts.
    timers : TimerService
        Timers for the pauses between batches.

    Returns
    -------
    tuple
        Texts by their hash, and the first failure or None. The texts lack
        parts that the store does not hold or whose value is empty.
    """
    found: dict[PartHash, bytes] = {}
    remaining = iter(parts)
    batch = tuple(itertools.islice(remaining, BATCH_SIZE))
    while batch:
        answers = await asyncio.gather(
            *(store.get(part_key(part)) for part in batch),
        )
        texts = map(_part_text, answers)
        found.update((part_hash(text), text) for text in texts)
        for answer in answers:
            if isinstance(answer, Failure):
                return found, answer
        batch = tuple(itertools.islice(remaining, BATCH_SIZE))
        if batch:
            await pause(timers, BATCH_INTERVAL_S)
    return found, None


def _part_text(answer: object) -> bytes:
    return answer.value.encode() if isinstance(answer, StoredAnswer) else b''
