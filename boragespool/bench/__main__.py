"""Runs benchmarks: ``python -m boragespool.bench [--short] [NAME ...]``."""

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
_SCENARIOS_MODULE: Final = 'scenarios'
_MAIN_MODULE: Final = '__main__'
_SHORT_FLAG: Final = '--short'
#: Arguments that shorten modules whose full run takes too long for
#: ``--short``.
_SHORT_ARGUMENTS_BY_MODULE: Final[Mapping[str, dict[str, int]]] = (
    MappingProxyType(
        {
            'tail': {'query_count': 100},
            'planning': {'sub_requests': 2_000},
        },
    )
)
#: Modules that ``--short`` leaves out, because they start several fleets or
#: run one for a long time.
_LONG_MODULES: Final = frozenset(
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
#: Names of the boolean parameter by which a `main` shortens its run.
_SHORT_PARAMETERS: Final = ('short', 'is_short')


def module_names() -> tuple[str, ...]:
    """Return the names of the benchmarks; `scenarios` is the last one.

    Every module of the package with a ``main`` function is a benchmark.
    """
    names = [
        module_info.name
        for module_info in pkgutil.iter_modules(_package_path())
        if module_info.name != _MAIN_MODULE and _has_main(module_info.name)
    ]
    return tuple(sorted(names, key=_SCENARIOS_MODULE.__eq__))


def short_arguments(name: str) -> dict[str, Any]:
    """Return the keyword arguments of `main` for a short run of a module."""
    parameters = inspect.signature(_module(name).main).parameters
    keyword_arguments: dict[str, Any] = {
        parameter: True
        for parameter in _SHORT_PARAMETERS
        if parameter in parameters
    }
    return keyword_arguments | _SHORT_ARGUMENTS_BY_MODULE.get(name, {})


def main(arguments: tuple[str, ...] = ()) -> int:
    """Run benchmarks, also after one of them failed.

    Parameters
    ----------
    arguments : tuple of str
        Names of modules, all by default. ``--short`` shortens the runs and
        leaves out some modules that are not named.

    Returns
    -------
    int
        0 if all modules ran and met their goals, 1 if one did not, 2 if an
        argument is unknown.
    """
    allowed = (_SHORT_FLAG, *module_names())
    unknown = [argument for argument in arguments if argument not in allowed]
    if unknown:
        allowed_names = ', '.join(allowed)
        sys.stderr.write(
            f'{unknown!r} not recognized; allowed: {allowed_names}\n'
        )
        return 2
    is_short = _SHORT_FLAG in arguments
    print(f'{os.cpu_count()} cores, Python {platform.python_version()}')
    names = [argument for argument in arguments if argument != _SHORT_FLAG] or [
        name
        for name in module_names()
        if not (is_short and name in _LONG_MODULES)
    ]
    failed = [name for name in names if not _run(name, is_short)]
    if failed:
        print(f'goals missed or failed: {failed!r}')
    return 1 if failed else 0


def _run(name: str, is_short: bool) -> bool:
    """Run one module and return whether it met its goals."""
    keyword_arguments = short_arguments(name) if is_short else {}
    if name == _SCENARIOS_MODULE and is_short:
        keyword_arguments['arguments'] = _SHORT_SCENARIOS
    arguments_note = f' with {keyword_arguments!r}' if keyword_arguments else ''
    print(f'\n$ python -m boragespool.bench.{name}{arguments_note}', flush=True)
    began_s = time.monotonic()
    try:
        result = _module(name).main(**keyword_arguments)
    except Exception as error:
        print(f'failed: {error!r}')
        return False
    print(f'took {time.monotonic() - began_s:.1f} s', flush=True)
    return not result


def _module(name: str) -> Any:
    return importlib.import_module(f'{_PACKAGE}.{name}')


def _package_path() -> list[str]:
    return list(importlib.import_module(_PACKAGE).__path__)


def _has_main(name: str) -> bool:
    return hasattr(_module(name), 'main')


if __name__ == _MAIN_MODULE:
    exit_on_sigterm()
    sys.exit(main(tuple(sys.argv[1:])))
