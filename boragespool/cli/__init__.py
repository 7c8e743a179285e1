"""The operators' command."""

from __future__ import annotations
