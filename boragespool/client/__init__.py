"""Library for callers."""

from __future__ import annotations
