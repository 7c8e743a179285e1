"""State shared by the controllers of one daemon (blackboard pattern)."""

from __future__ import annotations

from boragespool.blackboard.board import Blackboard, Topic
from boragespool.blackboard.sharded import ShardedMapping

__all__ = ('Blackboard', 'ShardedMapping', 'Topic')
