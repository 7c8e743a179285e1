"""Measurements."""

from __future__ import annotations
