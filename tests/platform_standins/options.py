"""Options of a forwarding daemon for tests without a process."""

from __future__ import annotations

import msgspec
from boragespool_platform.settings import Boot, forwarding_options


def simple_options():
    """Return the options of a daemon alone in its data centre."""
    boot = {
        'node': 'h',
        'zone': 'here',
        'region': 'r',
        'zones': {'here': 'r'},
        'listen_addrs': {},
        'platform': {'address': '127.0.0.1:9'},
    }
    return forwarding_options(msgspec.convert(boot, Boot))
