"""Fingerprints of requests, by which crash detection recognises them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from boragespool.types import RouteName


def fingerprint_of(route: RouteName, body: bytes) -> int:
    """Return the fingerprint of a request: the xxhash of route and body.

    Parameters
    ----------
    route : str
        Name of the route.
    body : bytes
        Body as the caller sent it.

    Returns
    -------
    int
        Hash of 64 bits. Equal requests have equal fingerprints at every daemon.
    """
    digest = xxhash.xxh64(route.encode())
    digest.update(b'\0')
    digest.update(body)
    return digest.intdigest()
