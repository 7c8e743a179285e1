"""Benchmarks: ``python -m boragespool.bench [--short] [NAME ...]``."""

from __future__ import annotations

import importlib
import inspect
import os
import pkgutil
import platform
import sys
import time
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from boragespool.bench.processes import exit_on_sigterm

if TYPE_CHECKING:
    from collections.abc import Mapping

_PACKAGE: Final = 'boragespool.bench'
_SCENARIOS: Final = 'scenarios'
_MAIN: Final = '__main__'
_SHORT_FLAG: Final = '--short'
#: Arguments of modules whose full run takes longer than a short run may.
_SHORT_ARGUMENTS: Final[Mapping[str, dict[str, int]]] = MappingProxyType(
    {
        'tail': {'query_count': 100},
        'planning': {'sub_requests': 2_000},
    },
)
#: Several fleets, or one for long, take more time than a short run may.
_NOT_SHORT: Final = frozenset(
    (
        'added_latency',
        'control',
        'exchange',
        'profiling',
        'replacement',
        'slow_members',
    ),
)
_SHORT_SCENARIOS: Final = ('cooperative', 'stragglers')
#: Name of the parameter of a `main` that shortens its run.
_SHORT_PARAMETERS: Final = ('short', 'is_short')


def module_names() -> tuple[str, ...]:
    """Return the benchmarks, those with real processes last.

    Every module of the package whose source has a ``main`` is a benchmark.
    """
    names = [
        found.name
        for found in pkgutil.iter_modules(_path())
        if found.name != _MAIN and _has_main(found.name)
    ]
    return tuple(sorted(names, key=_SCENARIOS.__eq__))


def short_arguments(name: str) -> dict[str, Any]:
    """Return the keyword arguments of a short run of a module."""
    given = inspect.signature(_module(name).main).parameters
    chosen: dict[str, Any] = {
        parameter: True for parameter in _SHORT_PARAMETERS if parameter in given
    }
    return chosen | _SHORT_ARGUMENTS.get(name, {})


def main(arguments: tuple[str, ...] = ()) -> int:
    """Run benchmarks; a failed one does not keep others from running.

    Parameters
    ----------
    arguments : tuple of str
        Names of modules, all by default. ``--short`` shortens the runs, and
        leaves some modules out unless they are named.

    Returns
    -------
    int
        0 if all modules ran and met the goals that they check, else 1.
    """
    allowed = (_SHORT_FLAG, *module_names())
    unknown = [given for given in arguments if given not in allowed]
    if unknown:
        listed = ', '.join(allowed)
        sys.stderr.write(f'{unknown!r} not known; allowed: {listed}\n')
        return 2
    is_short = _SHORT_FLAG in arguments
    print(f'{os.cpu_count()} cores, Python {platform.python_version()}')
    names = [given for given in arguments if given != _SHORT_FLAG] or [
        name for name in module_names() if not (is_short and name in _NOT_SHORT)
    ]
    failed = [name for name in names if not _run(name, is_short)]
    if failed:
        print(f'goals missed or failed: {failed!r}')
    return 1 if failed else 0


def _run(name: str, is_short: bool) -> bool:
    """Run one module; tell whether it met its goals."""
    chosen = short_arguments(name) if is_short else {}
    if name == _SCENARIOS and is_short:
        chosen['arguments'] = _SHORT_SCENARIOS
    noted = f' with {chosen!r}' if chosen else ''
    print(f'\n$ python -m boragespool.bench.{name}{noted}', flush=True)
    began_s = time.monotonic()
    try:
        result = _module(name).main(**chosen)
    except Exception as error:
        print(f'failed: {error!r}')
        return False
    print(f'took {time.monotonic() - began_s:.1f} s', flush=True)
    return not result


def _module(name: str) -> Any:
    return importlib.import_module(f'{_PACKAGE}.{name}')


def _path() -> list[str]:
    return list(importlib.import_module(_PACKAGE).__path__)


def _has_main(name: str) -> bool:
    return hasattr(_module(name), 'main')


if __name__ == _MAIN:
    exit_on_sigterm()
    sys.exit(main(tuple(sys.argv[1:])))
