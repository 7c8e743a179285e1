"""Decisions about where work goes and when it is attempted again."""

from __future__ import annotations

from boragespool.routing.rendezvous import dispatcher_of, highest_weights

__all__ = ('dispatcher_of', 'highest_weights')
