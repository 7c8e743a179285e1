"""The entry daemon."""

from __future__ import annotations
