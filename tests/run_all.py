"""Run all tests; the last line is ``N passed, N failed``.

Groups of test files run in parallel. Tests listed in ``KNOWN-RED.txt`` are
excluded and printed: a line ``pytest: <test id>`` there, or the tag
``@known_red`` on a scenario.
"""

from __future__ import annotations

import asyncio
import pathlib
import re
import sys
import time
from dataclasses import dataclass

ROOT = pathlib.Path(__file__).resolve().parent.parent
PATTERNS_BY_SUITE = {
    'pytest': (r'(\d+) passed', r'(\d+) (?:failed|error)'),
    'behave': (
        r'(\d+) scenarios? passed',
        r'scenarios? passed, (\d+) (?:failed|error)',
    ),
}
#: Number of parallel groups of each suite. A scenario starts a dozen
#: processes, so more groups would slow each other down.
GROUPS_BY_SUITE = {'pytest': 2, 'behave': 2}


@dataclass(frozen=True, slots=True)
class Group:
    """Command line of one suite, whose files run one after the other."""

    suite: str
    arguments: tuple[str, ...]


async def run_group(group: Group) -> tuple[int, int]:
    """Run one group; return the number of passed and of failed tests.

    A group that exits with an error but reports no failed test counts as
    one failure.
    """
    began_s = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        group.suite,
        *group.arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    text = output.decode('utf-8', 'replace')
    print(text, flush=True)
    print(f'{group.suite}: {time.monotonic() - began_s:.0f} s', flush=True)
    passed, failed = (
        sum(map(int, re.findall(pattern, text)))
        for pattern in PATTERNS_BY_SUITE[group.suite]
    )
    if process.returncode and not failed:
        failed = 1
    return passed, failed


def deal_round_robin(
    files: list[pathlib.Path], count: int
) -> list[tuple[str, ...]]:
    """Distribute files over groups, neighbours in sorted order apart."""
    names = sorted(str(path.relative_to(ROOT)) for path in files)
    return [tuple(names[start::count]) for start in range(count)]


def make_groups(known_red: str) -> list[Group]:
    """Return the groups of all suites.

    Parameters
    ----------
    known_red : str
        Contents of ``KNOWN-RED.txt``.
    """
    deselected = tuple(
        f'--deselect={test}'
        for test in re.findall(r'^pytest: (\S+)', known_red, re.MULTILINE)
    )
    options_by_suite = {
        'pytest': deselected,
        'behave': (
            '--no-capture',
            '--format=plain',
            '--no-skipped',
            '--tags=not known_red',
        ),
    }
    files_by_suite = {
        'pytest': list((ROOT / 'tests').glob('test_*.py')),
        'behave': list((ROOT / 'features').glob('*.feature')),
    }
    return [
        Group(suite, (*options_by_suite[suite], *names))
        for suite, count in GROUPS_BY_SUITE.items()
        for names in deal_round_robin(files_by_suite[suite], count)
    ]


async def run_all() -> int:
    """Run every group; print the excluded tests and the totals."""
    known_red = (ROOT / 'KNOWN-RED.txt').read_text(encoding='utf-8')
    print(known_red)
    results = await asyncio.gather(*map(run_group, make_groups(known_red)))
    passed = sum(result[0] for result in results)
    failed = sum(result[1] for result in results)
    print(f'{passed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(run_all()))
