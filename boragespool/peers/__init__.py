"""Messaging between daemons: MessagePack frames over pynng sockets."""

from __future__ import annotations

from boragespool.peers.handlers import Sender
from boragespool.peers.network import PeerNetwork
from boragespool.peers.options import PeerOptions

__all__ = ('PeerNetwork', 'PeerOptions', 'Sender')
