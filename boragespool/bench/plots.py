"""Tables and plots of the figures that `scenarios` wrote as JSON.

``python -m boragespool.bench.plots DIRECTORY FIGURES.json ...`` writes one
SVG per scenario into the directory and prints the tables.
"""

from __future__ import annotations

import pathlib
import sys
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

import msgspec
from matplotlib import pyplot

from boragespool.bench.load_driver import LoadSummary, RankSummary
from boragespool.types import Rank

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

_MS_PER_S: Final = 1_000
_HEADER: Final = (
    '| Deployment | Run | Rank | Offered | Answered | Refused | p50 ms '
    '| p99 ms | p99 / baseline | Coverage | Load |\n'
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |'
)


@dataclass(frozen=True, slots=True)
class Figures:
    """Runs of one scenario on one deployment; the baseline is the first."""

    deployment: str
    scenario: str
    runs: dict[str, LoadSummary]


def read_figures(paths: Iterable[pathlib.Path]) -> list[Figures]:
    """Read files that `scenarios` wrote.

    Raises
    ------
    msgspec.ValidationError
        If a file has another form.
    """
    return [
        figures
        for path in paths
        for figures in msgspec.json.decode(
            path.read_bytes(),
            type=list[Figures],
        )
    ]


def table(figures: Iterable[Figures]) -> str:
    """Return a Markdown table of one scenario."""
    return '\n'.join((_HEADER, *(row for one in figures for row in _rows(one))))


def plot(scenario: str, figures: Sequence[Figures], path: pathlib.Path) -> None:
    """Draw p99 by rank and answered requests by second, as SVG."""
    untyped: Any = pyplot
    figure, axes = untyped.subplots(
        2,
        len(figures),
        figsize=(5 * len(figures), 6),
        squeeze=False,
    )
    for column, one in enumerate(figures):
        _draw_p99(axes[0][column], one)
        _draw_answered(axes[1][column], one)
    figure.suptitle(scenario)
    figure.tight_layout()
    # Without a date, the same figures give the same file.
    figure.savefig(path, metadata={'Date': None})
    untyped.close(figure)


def write(arguments: Sequence[str]) -> None:
    """Print the tables and write the plots."""
    directory = pathlib.Path(arguments[0])
    by_scenario: dict[str, list[Figures]] = {}
    for one in read_figures(map(pathlib.Path, arguments[1:])):
        by_scenario.setdefault(one.scenario, []).append(one)
    for scenario, figures in by_scenario.items():
        print(f'### {scenario}\n\n{table(figures)}\n')
        plot(scenario, figures, directory / f'{scenario}.svg')


def _rows(figures: Figures) -> Iterator[str]:
    baseline = next(iter(figures.runs.values()))
    for label, run in figures.runs.items():
        for rank, one in run.by_rank.items():
            fields = (
                figures.deployment,
                label,
                rank.value,
                f'{one.offered} | {one.answered} | {one.refused}',
                f'{one.p50_s * _MS_PER_S:.0f}',
                f'{one.p99_s * _MS_PER_S:.0f}',
                _ratio(one, baseline.by_rank.get(rank)),
                f'{one.coverage:.4f}',
                f'{run.load:.3f}',
            )
            yield f'| {" | ".join(fields)} |'


def _ratio(one: RankSummary, baseline: RankSummary | None) -> str:
    if baseline is None or not baseline.p99_s:
        return '-'
    return f'{one.p99_s / baseline.p99_s:.2f}'


def _draw_p99(axis: Any, figures: Figures) -> None:
    width = 0.8 / len(figures.runs)
    ranks = list(Rank)
    for number, (label, run) in enumerate(figures.runs.items()):
        heights = [
            run.by_rank[rank].p99_s * _MS_PER_S if rank in run.by_rank else 0
            for rank in ranks
        ]
        places = [place + number * width for place in range(len(ranks))]
        axis.bar(places, heights, width, label=label)
    axis.set_xticks(range(len(ranks)), [rank.value for rank in ranks])
    axis.set_ylabel('p99, ms')
    axis.set_title(figures.deployment)
    axis.legend(fontsize='small')


def _draw_answered(axis: Any, figures: Figures) -> None:
    for label, run in figures.runs.items():
        offered: Counter[int] = Counter()
        answered: Counter[int] = Counter()
        for one in run.by_rank.values():
            offered.update(one.offered_by_s)
            answered.update(one.answered_by_s)
        seconds = sorted(offered)
        shares = [answered[second] / offered[second] for second in seconds]
        axis.plot(seconds, shares, label=label)
    axis.set_xlabel('scheduled time, s')
    axis.set_ylabel('answered in time, share')
    axis.set_ylim(0, 1.05)


if __name__ == '__main__':
    write(sys.argv[1:])
