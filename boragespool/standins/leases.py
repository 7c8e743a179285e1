"""Leases of the stand-in platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from boragespool.http import failure_response, json_response
from boragespool.results import Failure, ResultCode
from boragespool.store import Lease

if TYPE_CHECKING:
    from boragespool.http import HttpResponse
    from boragespool.types import Seconds

_CONFLICT: Final = 409


class LeaseTable:
    """Who holds which lease, and until when."""

    def __init__(self) -> None:
        """Start without leases."""
        self._held_by_name: dict[str, tuple[str, Seconds]] = {}

    def serve(self, body: bytes) -> HttpResponse:
        """Take, renew or give back the lease that a body names."""
        try:
            wanted = msgspec.json.decode(body, type=Lease)
        except msgspec.MsgspecError as error:
            return failure_response(
                Failure(ResultCode.MALFORMED_BODY, str(error)),
            )
        now_s = asyncio.get_running_loop().time()
        holder, until_s = self._held_by_name.get(wanted.name, ('', 0))
        if holder != wanted.holder and until_s > now_s:
            held = Lease(wanted.name, holder, until_s - now_s)
            return json_response(held, _CONFLICT)
        self._held_by_name[wanted.name] = (
            wanted.holder,
            now_s + wanted.ttl_s,
        )
        return json_response(wanted)
