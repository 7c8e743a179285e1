"""Free loopback addresses for servers of measurements and tests.

The ports are below the range that the kernel takes for outgoing connections,
so that no connection takes one before its server listens.
"""

from __future__ import annotations

import itertools
import os
import socket
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from boragespool.types import Address

_FIRST_PORT: Final = 12_000
_PORT_COUNT: Final = 20_000
#: Ports between the starts of two processes with adjacent ids.
_PORTS_PER_PROCESS: Final = 211

_next_port_offsets: Final = itertools.count(os.getpid() * _PORTS_PER_PROCESS)


def free_address(ip: str = '127.0.0.1') -> Address:
    """Return a loopback address with a free port.

    A process gets each port once, until it has had all of them.

    Raises
    ------
    OSError
        If no port is free.
    """
    for offset in itertools.islice(_next_port_offsets, _PORT_COUNT):
        port = _FIRST_PORT + offset % _PORT_COUNT
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                continue
            return f'{ip}:{port}'
    raise OSError(f'no port is free on {ip!r}')
