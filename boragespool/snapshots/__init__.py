"""Index versions, key ranges and coverage."""

from __future__ import annotations
