"""Query tier with snapshot-consistent answers and at-most-once claims.

Daemons between callers and the backend servers that hold the shards of an
index. Each request has a rank, which decides what is refused in overload.
"""

from __future__ import annotations

from boragespool.results import Failure, ResultCode
from boragespool.types import Rank, RunState

__all__ = ('Failure', 'Rank', 'ResultCode', 'RunState', '__version__')

__version__ = '0.1.0'
