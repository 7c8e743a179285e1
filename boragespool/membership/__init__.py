"""Members, failure detection and address answers."""

from __future__ import annotations
