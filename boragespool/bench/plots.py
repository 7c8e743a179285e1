"""Tables and plots of the results that `scenarios` writes as JSON.

``python -m boragespool.bench.plots DIRECTORY FIGURES.json ...`` writes one
SVG file per scenario into the directory and prints the tables.
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
class ScenarioFigures:
    """Runs of one scenario on one deployment, by name.

    The first run is the baseline.
    """

    deployment: str
    scenario: str
    runs: dict[str, LoadSummary]


def read_figures(paths: Iterable[pathlib.Path]) -> list[ScenarioFigures]:
    """Read JSON files that `scenarios` wrote.

    Raises
    ------
    msgspec.ValidationError
        If a file does not have the structure of the results.
    """
    return [
        figures
        for path in paths
        for figures in msgspec.json.decode(
            path.read_bytes(),
            type=list[ScenarioFigures],
        )
    ]


def markdown_table(figures: Iterable[ScenarioFigures]) -> str:
    """Return a Markdown table of one scenario on several deployments."""
    return '\n'.join(
        (
            _HEADER,
            *(
                row
                for deployment_figures in figures
                for row in _table_rows(deployment_figures)
            ),
        )
    )


def write_plot(
    scenario: str, figures: Sequence[ScenarioFigures], path: pathlib.Path
) -> None:
    """Write an SVG plot of p99 by rank and of the answered share by second."""
    untyped: Any = pyplot
    figure, axes = untyped.subplots(
        2,
        len(figures),
        figsize=(5 * len(figures), 6),
        squeeze=False,
    )
    for column, deployment_figures in enumerate(figures):
        _draw_p99(axes[0][column], deployment_figures)
        _draw_answered(axes[1][column], deployment_figures)
    figure.suptitle(scenario)
    figure.tight_layout()
    # Leave out the date, so equal results give identical files.
    figure.savefig(path, metadata={'Date': None})
    untyped.close(figure)


def write_report(arguments: Sequence[str]) -> None:
    """Print the tables and write the plots.

    Parameters
    ----------
    arguments : sequence of str
        Directory for the plots, then the JSON files.
    """
    directory = pathlib.Path(arguments[0])
    figures_by_scenario: dict[str, list[ScenarioFigures]] = {}
    for scenario_figures in read_figures(map(pathlib.Path, arguments[1:])):
        figures_by_scenario.setdefault(scenario_figures.scenario, []).append(
            scenario_figures
        )
    for scenario, figures in figures_by_scenario.items():
        print(f'### {scenario}\n\n{markdown_table(figures)}\n')
        write_plot(scenario, figures, directory / f'{scenario}.svg')


def _table_rows(figures: ScenarioFigures) -> Iterator[str]:
    baseline = next(iter(figures.runs.values()))
    for label, run in figures.runs.items():
        for rank, summary in run.by_rank.items():
            cells = (
                figures.deployment,
                label,
                rank.value,
                f'{summary.offered} | {summary.answered} | {summary.refused}',
                f'{summary.p50_s * _MS_PER_S:.0f}',
                f'{summary.p99_s * _MS_PER_S:.0f}',
                _p99_ratio(summary, baseline.by_rank.get(rank)),
                f'{summary.coverage:.4f}',
                f'{run.load:.3f}',
            )
            yield f'| {" | ".join(cells)} |'


def _p99_ratio(summary: RankSummary, baseline: RankSummary | None) -> str:
    if baseline is None or not baseline.p99_s:
        return '-'
    return f'{summary.p99_s / baseline.p99_s:.2f}'


def _draw_p99(axis: Any, figures: ScenarioFigures) -> None:
    width = 0.8 / len(figures.runs)
    ranks = list(Rank)
    for number, (label, run) in enumerate(figures.runs.items()):
        heights = [
            run.by_rank[rank].p99_s * _MS_PER_S if rank in run.by_rank else 0
            for rank in ranks
        ]
        positions = [
            position + number * width for position in range(len(ranks))
        ]
        axis.bar(positions, heights, width, label=label)
    axis.set_xticks(range(len(ranks)), [rank.value for rank in ranks])
    axis.set_ylabel('p99, ms')
    axis.set_title(figures.deployment)
    axis.legend(fontsize='small')


def _draw_answered(axis: Any, figures: ScenarioFigures) -> None:
    for label, run in figures.runs.items():
        offered: Counter[int] = Counter()
        answered: Counter[int] = Counter()
        for summary in run.by_rank.values():
            offered.update(summary.offered_by_s)
            answered.update(summary.answered_by_s)
        seconds = sorted(offered)
        shares = [answered[second] / offered[second] for second in seconds]
        axis.plot(seconds, shares, label=label)
    axis.set_xlabel('scheduled time, s')
    axis.set_ylabel('answered in time, share')
    axis.set_ylim(0, 1.05)


if __name__ == '__main__':
    write_report(sys.argv[1:])
