"""State and limits of backend servers."""

from __future__ import annotations
