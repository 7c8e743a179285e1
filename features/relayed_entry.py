"""Runs a daemon that its peers reach through a relay.

The daemon publishes the address of the relay as its peer address and listens
on the address in the environment variable ``PEER_LISTEN_ADDRESS``.
"""

from __future__ import annotations

import os

import pynng

from boragespool.daemon.main import run


class _RelayedPull(pynng.Pull0):
    """Listens on the target address of the relay."""

    def listen(self, address, *options, **named):
        listen_address = os.environ['PEER_LISTEN_ADDRESS']
        return super().listen(f'tcp://{listen_address}', *options, **named)


if __name__ == '__main__':
    pynng.Pull0 = _RelayedPull
    run()
