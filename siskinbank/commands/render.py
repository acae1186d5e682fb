"""``siskinbank render``: print the effective configuration of a site."""

import json
from typing import Any

import click
import yaml

from siskinbank.config.changes import list_changes
from siskinbank.config.models import DocumentModel
from siskinbank.config.overlay import load_files, remove_unserved
from siskinbank.config.sections import split_sections
from siskinbank.kernel.findings import Findings
from siskinbank.util import hex_digest

__all__ = ('command',)


@click.command('render')
@click.argument('base')
@click.argument('overlays', nargs=-1)
@click.option(
    '--against',
    metavar='OLD',
    help='Earlier output of this command; print only the differences.',
)
@click.option(
    '--publish',
    type=int,
    metavar='GENERATION',
    help='Print manifest and sections as JSON for publication.',
)
def command(
    base: str,
    overlays: tuple[str, ...],
    against: str | None,
    publish: int | None,
) -> int:
    """Print BASE merged with the OVERLAYS.

    \b
    Exit codes: 0 if the configuration is valid, 1 with findings.
    """
    model = _load(base, overlays)
    if model is None:
        return 1
    if publish is not None:
        click.echo(json.dumps(_make_publication(model, publish), indent=1))
        return 0
    if against is None:
        click.echo(yaml.safe_dump(model.model_dump(mode='json')), nl=False)
        return 0
    old = _load(against, ())
    if old is None:
        return 1
    for line in list_changes(old, model):
        click.echo(line)
    return 0


def _load(base: str, overlays: tuple[str, ...]) -> DocumentModel | None:
    findings = Findings()
    model = load_files(base, overlays, findings)
    for finding in findings:
        click.echo(str(finding), err=True)
    return remove_unserved(model) if model else None


def _make_publication(model: DocumentModel, generation: int) -> dict[str, Any]:
    sections = split_sections(model)
    return {
        'manifest': {
            'generation': generation,
            'sections': {
                name: hex_digest(raw) for name, raw in sections.items()
            },
        },
        'sections': {name: raw.decode() for name, raw in sections.items()},
    }
