"""Leases of the stand-in platform: named locks that expire."""

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

_CONFLICT_STATUS: Final = 409


class LeaseTable:
    """Holder and expiry time of each lease, kept in memory."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._holder_and_expiry_by_name: dict[str, tuple[str, Seconds]] = {}

    def serve(self, body: bytes) -> HttpResponse:
        """Grant or renew a lease, or refuse it with status 409.

        Parameters
        ----------
        body : bytes
            `Lease` as JSON. A `ttl_s` of 0 releases the lease.

        Returns
        -------
        HttpResponse
            The granted lease, or the current one if another holder has it.
        """
        try:
            requested = msgspec.json.decode(body, type=Lease)
        except msgspec.MsgspecError as error:
            return failure_response(
                Failure(ResultCode.MALFORMED_BODY, str(error)),
            )
        now_s = asyncio.get_running_loop().time()
        holder, expires_at_s = self._holder_and_expiry_by_name.get(
            requested.name, ('', 0)
        )
        if holder != requested.holder and expires_at_s > now_s:
            current = Lease(requested.name, holder, expires_at_s - now_s)
            return json_response(current, _CONFLICT_STATUS)
        self._holder_and_expiry_by_name[requested.name] = (
            requested.holder,
            now_s + requested.ttl_s,
        )
        return json_response(requested)
