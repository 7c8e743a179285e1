"""Runs a daemon under cProfile and writes the profile to ``PROFILE_PATH``."""

from __future__ import annotations

import cProfile
import os

from boragespool.daemon import main as daemon

if __name__ == '__main__':
    profile = cProfile.Profile()
    try:
        profile.runcall(daemon.run)
    finally:
        profile.dump_stats(os.environ['PROFILE_PATH'])
