"""A query tier with consistent answers, at-most-once claims and ranks."""

from __future__ import annotations

from boragespool.results import Failure, ResultCode
from boragespool.types import Rank, RunState

__all__ = ('Failure', 'Rank', 'ResultCode', 'RunState', '__version__')

__version__ = '0.1.0'
