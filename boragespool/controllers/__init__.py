"""Controllers of a daemon: tasks and handlers that perform its I/O."""

from __future__ import annotations
