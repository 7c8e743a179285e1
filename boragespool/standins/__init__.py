"""Stand-ins for the platform and for backend servers, used by tests and the demo."""

from __future__ import annotations
