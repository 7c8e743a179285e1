"""State that the controllers of one daemon share."""

from __future__ import annotations

from boragespool.blackboard.board import Blackboard, Topic

__all__ = ('Blackboard', 'Topic')
