"""Controllers that carry decisions out."""

from __future__ import annotations
