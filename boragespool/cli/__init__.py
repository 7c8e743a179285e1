"""Command line program ``boragespool`` for operators."""

from __future__ import annotations
