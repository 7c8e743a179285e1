"""Tickets, issuers and witnesses."""

from __future__ import annotations
