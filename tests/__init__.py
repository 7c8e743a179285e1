"""Tests; the adapter's package stands in the folder `platform`."""

from __future__ import annotations

import pathlib
import sys

sys.path.append(
    str(pathlib.Path(__file__).resolve().parent.parent / 'platform')
)
