"""The report of an experiment, and the command that runs it."""

import json
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

import click

__all__ = (
    'Bound',
    'ExperimentCommand',
    'ExperimentReport',
    'at_least',
    'at_most',
    'make_command',
)


@dataclass(frozen=True, slots=True)
class Bound:
    """A target and the measured value.

    Attributes:
        name: name in the report, with the unit.
        bound: the target.
        value: the measured value.
        holds: whether the value meets the target.
    """

    name: str
    bound: float
    value: float
    holds: bool


def at_most(name: str, bound: float, measured: float) -> Bound:
    """Return a bound that holds if ``measured`` is at most ``bound``."""
    return Bound(name, bound, measured, measured <= bound)


def at_least(name: str, bound: float, measured: float) -> Bound:
    """Return a bound that holds if ``measured`` is at least ``bound``."""
    return Bound(name, bound, measured, measured >= bound)


@dataclass(frozen=True, slots=True)
class ExperimentReport:
    """Figures of one run, beside those of a naive version.

    Attributes:
        experiment: name of the experiment.
        seed: seed of the run.
        siskinbank: figures of siskinbank by name.
        naive: figures of the naive version by name.
        bounds: targets with the measured values.
    """

    experiment: str
    seed: int
    siskinbank: dict[str, Any]
    naive: dict[str, Any]
    bounds: list[Bound] = field(default_factory=list)

    @property
    def holds(self) -> bool:
        """Return whether there are bounds and all of them hold.

        A run without bounds checks nothing, so it does not count as passed.
        """
        return bool(self.bounds) and all(bound.holds for bound in self.bounds)

    def lines(self) -> list[str]:
        """Return the report as lines of text."""
        lines = [f'{self.experiment}, seed {self.seed}']
        for name in sorted(self.siskinbank.keys() | self.naive.keys()):
            siskinbank = _format_figure(self.siskinbank.get(name))
            naive = _format_figure(self.naive.get(name))
            lines.append(f'  {name}: {siskinbank} (naive: {naive})')
        for bound in self.bounds:
            verdict = 'holds' if bound.holds else 'DOES NOT HOLD'
            lines.append(
                f'  bound {bound.name}: {_format_figure(bound.value)} against '
                f'{_format_figure(bound.bound)}: {verdict}',
            )
        return lines


class ExperimentCommand(click.Command):
    """A command that runs an experiment.

    ``run_default`` runs it without the command line.
    """

    def __init__(
        self,
        *args: Any,
        measure: Callable[..., ExperimentReport],
        **options: Any,
    ) -> None:
        """Initialize the command.

        Args:
            args: positional arguments of ``click.Command``.
            measure: function that runs the experiment.
            options: keyword arguments of ``click.Command``.
        """
        super().__init__(*args, **options)
        self._measure = measure

    def run_default(self, seed: int) -> ExperimentReport:
        """Run the experiment with the default of every other option."""
        context = self.make_context(self.name, [])
        option_values = {
            name: default
            for name, default in context.params.items()
            if name not in {'seed', 'as_json'}
        }
        return self._measure(seed=seed, **option_values)


def make_command(
    name: str,
    summary: str,
    measure: Callable[..., ExperimentReport],
    options: Sequence[click.Option] = (),
) -> click.Command:
    """Create the command ``siskinbank lab NAME``.

    Args:
        name: name of the experiment.
        summary: help text of the command.
        measure: function that runs the experiment; it gets ``seed`` and the
            values of ``options`` as keyword arguments.
        options: command line options besides ``--seed`` and ``--json``.

    Returns:
        A command that exits with 1 if a bound does not hold.
    """

    def run(seed: int, as_json: bool, **option_values: Any) -> int:
        report = measure(seed=seed, **option_values)
        if as_json:
            click.echo(json.dumps(asdict(report)))
        else:
            click.echo('\n'.join(report.lines()))
        return 0 if report.holds else 1

    return ExperimentCommand(
        name,
        measure=measure,
        callback=run,
        help=summary,
        params=[
            click.Option(['--seed'], type=int, default=1, show_default=True),
            click.Option(['as_json', '--json'], is_flag=True),
            *options,
        ],
    )


def _format_figure(number: Any) -> str:
    return f'{number:.4g}' if isinstance(number, float) else str(number)
