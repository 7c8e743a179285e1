"""Queueing and admission by rank."""

from __future__ import annotations
