"""State that the controllers of one daemon share."""

from __future__ import annotations

from boragespool.blackboard.board import Blackboard, Topic
from boragespool.blackboard.sharded import ShardedMapping

__all__ = ('Blackboard', 'ShardedMapping', 'Topic')
