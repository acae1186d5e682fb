"""``siskinbank lab report``: run the experiments and write one HTML page."""

import importlib
import pkgutil
from pathlib import Path

import click

from siskinbank.lab import commands
from siskinbank.lab.experiment import ExperimentCommand, ExperimentReport

__all__ = ('command', 'experiments')


def experiments() -> dict[str, ExperimentCommand]:
    """Return the commands of all experiments by name."""
    names = [module.name for module in pkgutil.iter_modules(commands.__path__)]
    loaded = [
        importlib.import_module(f'{commands.__name__}.{name}').command
        for name in sorted(names)
    ]
    return {
        str(loaded_command.name): loaded_command
        for loaded_command in loaded
        if isinstance(loaded_command, ExperimentCommand)
    }


@click.command('report')
@click.option(
    '--output',
    type=click.Path(dir_okay=False, writable=True),
    default='report.html',
    show_default=True,
)
@click.option('--seed', type=int, default=1, show_default=True)
@click.option(
    '--only', multiple=True, help='Name of an experiment; default: all.'
)
def command(output: str, seed: int, only: tuple[str, ...]) -> int:
    """Run the experiments and write one HTML page with plots.

    Requires matplotlib, which the extra `siskinbank[report]` installs. Exits
    with 1 if a bound does not hold or an experiment cannot be run.
    """
    try:
        from siskinbank.lab.report import write_page
    except ImportError as error:
        raise click.ClickException(f'{error}; install siskinbank[report]')
    reports, failed = _run(_select(only), seed)
    Path(output).write_text(write_page(reports, failed), encoding='utf-8')
    click.echo(f'{len(reports)} experiments in {output}')
    holds = all(report.holds for report in reports)
    return 0 if reports and holds and not failed else 1


def _select(only: tuple[str, ...]) -> dict[str, ExperimentCommand]:
    available = experiments()
    unknown = set(only) - available.keys()
    if unknown:
        names = ', '.join(sorted(unknown))
        raise click.UsageError(f'no such experiment: {names}')
    return {name: available[name] for name in only or available}


def _run(
    selected: dict[str, ExperimentCommand],
    seed: int,
) -> tuple[list[ExperimentReport], dict[str, str]]:
    """Return the reports, and the errors of experiments that did not run."""
    reports: list[ExperimentReport] = []
    failed: dict[str, str] = {}
    for name, experiment in selected.items():
        click.echo(f'{name} ...', err=True)
        try:
            reports.append(experiment.run_default(seed))
        except (OSError, TimeoutError) as error:
            failed[name] = str(error) or type(error).__name__
    return reports, failed
