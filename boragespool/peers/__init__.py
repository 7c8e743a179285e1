"""Links between daemons: pynng sockets with batched MessagePack frames."""

from __future__ import annotations

from boragespool.peers.backlog import Sender
from boragespool.peers.network import PeerNetwork
from boragespool.peers.options import PeerOptions

__all__ = ('PeerNetwork', 'PeerOptions', 'Sender')
