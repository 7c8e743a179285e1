"""Timer service: what cancelled timers keep."""

from __future__ import annotations

import asyncio
import weakref

import pytest

from boragespool.timers import LoopTimers, VirtualTimers


class Upload:
    """Request with a large body, to which a deadline refers."""

    def on_deadline(self):
        """Fail the request."""


@pytest.mark.parametrize('timers_type', [LoopTimers, VirtualTimers])
@pytest.mark.parametrize('schedule', ['after', 'every'])
def test_cancelled_timer_frees_its_callback(timers_type, schedule):
    """A cancelled deadline must not keep its request in memory.

    Bodies of answered requests stayed until their timeout, so that bursts of
    uploads ended processes for their memory.
    """

    async def scenario():
        upload = Upload()
        reference = weakref.ref(upload)
        timer = getattr(timers_type(), schedule)(60, upload.on_deadline)
        del upload
        assert reference() is not None
        timer.cancel()
        assert not timer.active
        assert reference() is None

    asyncio.run(scenario())
