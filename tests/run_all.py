"""Runs all tests and closes with one line ``N passed, N failed``.

Tests listed in ``KNOWN-RED.txt`` are left out and printed: a line
``pytest: <test id>`` there, or the tag ``@known_red`` on a scenario.
"""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PATTERNS_BY_SUITE = {
    'pytest': (r'(\d+) passed', r'(\d+) (?:failed|error)'),
    'behave': (
        r'(\d+) scenarios? passed',
        r'scenarios? passed, (\d+) (?:failed|error)',
    ),
}


def run_suite(name: str, *arguments: str) -> tuple[int, int]:
    """Run one suite; return how many tests passed and failed."""
    done = subprocess.run(
        [sys.executable, '-m', name, *arguments],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        check=False,
    )
    print(done.stdout, flush=True)
    passed, failed = (
        sum(map(int, re.findall(pattern, done.stdout)))
        for pattern in PATTERNS_BY_SUITE[name]
    )
    if done.returncode and not failed:
        failed = 1
    return passed, failed


def main() -> int:
    """Run every suite; print known red tests and the totals."""
    known = (ROOT / 'KNOWN-RED.txt').read_text(encoding='utf-8')
    print(known)
    deselected = (
        f'--deselect={test}'
        for test in re.findall(r'^pytest: (\S+)', known, re.MULTILINE)
    )
    results = [run_suite('pytest', '--ignore=tests/fuzz', *deselected)]
    if any(ROOT.glob('features/*.feature')):
        results.append(
            run_suite(
                'behave',
                '--no-capture',
                '--format=plain',
                '--no-skipped',
                '--tags=not known_red',
                'features',
            ),
        )
    passed = sum(result[0] for result in results)
    failed = sum(result[1] for result in results)
    print(f'{passed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
