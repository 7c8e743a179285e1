"""Daemon processes: settings, start, composition and graceful stop."""

from __future__ import annotations
