"""Tests; adds the folder `platform`, which has the adapter, to the path."""

from __future__ import annotations

import pathlib
import sys

sys.path.append(
    str(pathlib.Path(__file__).resolve().parent.parent / 'platform')
)
