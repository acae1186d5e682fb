"""What every experiment reports, and the command that runs it."""

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
    """A stated target and the value that was measured."""

    name: str
    bound: float
    value: float
    holds: bool


def at_most(name: str, bound: float, measured: float) -> Bound:
    """Return a bound that holds up to ``bound``."""
    return Bound(name, bound, measured, measured <= bound)


def at_least(name: str, bound: float, measured: float) -> Bound:
    """Return a bound that holds from ``bound`` on."""
    return Bound(name, bound, measured, measured >= bound)


@dataclass(frozen=True, slots=True)
class ExperimentReport:
    """The figures of one run beside those of the naive version."""

    experiment: str
    seed: int
    siskinbank: dict[str, Any]
    naive: dict[str, Any]
    bounds: list[Bound] = field(default_factory=list)

    @property
    def holds(self) -> bool:
        """Whether every bound holds; a run without bounds proves nothing."""
        return bool(self.bounds) and all(bound.holds for bound in self.bounds)

    def lines(self) -> list[str]:
        """Return the report for a terminal."""
        lines = [f'{self.experiment}, seed {self.seed}']
        for name in sorted(self.siskinbank.keys() | self.naive.keys()):
            ours = _short(self.siskinbank.get(name))
            naive = _short(self.naive.get(name))
            lines.append(f'  {name}: {ours} (naive: {naive})')
        for bound in self.bounds:
            verdict = 'holds' if bound.holds else 'DOES NOT HOLD'
            lines.append(
                f'  bound {bound.name}: {_short(bound.value)} against '
                f'{_short(bound.bound)}: {verdict}',
            )
        return lines


class ExperimentCommand(click.Command):
    """A command that measures; others may call ``measure`` themselves."""

    def __init__(
        self,
        *args: Any,
        measure: Callable[..., ExperimentReport],
        **options: Any,
    ) -> None:
        """Keep what the command runs."""
        super().__init__(*args, **options)
        self._measure = measure

    def run_default(self, seed: int) -> ExperimentReport:
        """Measure with the default of every other option."""
        context = self.make_context(self.name, [])
        given = {
            name: chosen
            for name, chosen in context.params.items()
            if name not in {'seed', 'as_json'}
        }
        return self._measure(seed=seed, **given)


def make_command(
    name: str,
    summary: str,
    measure: Callable[..., ExperimentReport],
    options: Sequence[click.Option] = (),
) -> click.Command:
    """Return the command ``siskinbank lab NAME``.

    Args:
        name: the experiment's name.
        summary: what it measures, for the help.
        measure: takes ``seed`` and the options' values by name.
        options: options besides ``--seed`` and ``--json``.

    Returns:
        A command that exits with 1 where a bound does not hold.
    """

    def run(seed: int, as_json: bool, **given: Any) -> int:
        report = measure(seed=seed, **given)
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


def _short(number: Any) -> str:
    return f'{number:.4g}' if isinstance(number, float) else str(number)
