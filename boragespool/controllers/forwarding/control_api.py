"""Requests on the control address: metrics and feeds for other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from boragespool.controllers.forwarding.feed_http import (
    FEED_PATH,
    handle_feed_request,
)
from boragespool.http import HttpResponse

if TYPE_CHECKING:
    from collections.abc import Mapping

    from boragespool.controllers.forwarding.feed import ChangeFeed
    from boragespool.http import HttpRequest
    from boragespool.types import Seconds


async def handle_control_request(
    feeds_by_prefix: Mapping[str, ChangeFeed],
    request: HttpRequest,
    max_wait_s: Seconds,
) -> HttpResponse:
    """Return the metrics, or the changes of the store for another daemon.

    Parameters
    ----------
    feeds_by_prefix : mapping of str to ChangeFeed
        Feeds of this daemon.
    request : HttpRequest
        Request on the control address.
    max_wait_s : float
        Maximum time for which a request waits for changes, in seconds.
    """
    if request.path == FEED_PATH:
        return await handle_feed_request(feeds_by_prefix, request, max_wait_s)
    return HttpResponse(200, generate_latest(), CONTENT_TYPE_LATEST)
