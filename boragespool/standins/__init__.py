"""Fake platform and backend servers for tests, the demo and benchmarks.

They speak the real HTTP protocols; ``/v1/control`` injects faults.
"""

from __future__ import annotations
