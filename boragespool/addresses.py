"""Format of the addresses of hosts and backend servers."""

from __future__ import annotations

import ipaddress
import re
from typing import Final

_PORT_PATTERN: Final = re.compile('[0-9]{1,5}')
_PORTS: Final = range(1, 65_536)


def parse_ip(text: str) -> ipaddress.IPv4Address | None:
    """Return the IP of an ``ip:port``; None if the text is not one."""
    host, _, port = text.rpartition(':')
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        return None
    is_port = _PORT_PATTERN.fullmatch(port) and int(port) in _PORTS
    return ip if is_port else None


def is_address(text: str) -> bool:
    """Whether a text is ``ip:port`` with an IPv4 address."""
    return parse_ip(text) is not None
