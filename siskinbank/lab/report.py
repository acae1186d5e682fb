"""Render reports of experiments as one HTML page."""

import base64
import html
from collections.abc import Sequence

from siskinbank import __version__
from siskinbank.lab.experiment import ExperimentReport
from siskinbank.lab.plots import draw, make_panels

__all__ = ('write_page',)

_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 75em; margin: 2em auto;
       padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border-bottom: 1px solid #ccc; padding: .2em .8em; text-align: left; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
.broken { color: #b00020; font-weight: bold; }
img { max-width: 100%; }
"""


def write_page(
    reports: Sequence[ExperimentReport],
    failed: dict[str, str],
) -> str:
    """Return the HTML page.

    Args:
        reports: reports of the experiments that ran.
        failed: error messages of the experiments that did not run, by name.

    Raises:
        ImportError: matplotlib is not installed.
    """
    body = ['<h1>siskinbank: experiments</h1>', _summary(reports, failed)]
    body.extend(_section(report) for report in reports)
    header = (
        '<!doctype html>\n<html lang="en">\n<meta charset="utf-8">\n'
        f'<title>siskinbank experiments</title>\n<style>{_STYLE}</style>'
    )
    return '\n'.join((header, *body, '</html>\n'))


def _summary(
    reports: Sequence[ExperimentReport],
    failed: dict[str, str],
) -> str:
    rows = [
        _row(
            f'<a href="#{report.experiment}">{report.experiment}</a>',
            str(report.seed),
            str(len(report.bounds)),
            _verdict(holds=report.holds),
        )
        for report in reports
    ]
    rows.extend(
        _row(html.escape(name), '', '', f'not run: {html.escape(error)}')
        for name, error in failed.items()
    )
    header = _row('experiment', 'seed', 'bounds', 'verdict', tag='th')
    return (
        f'<p>Version {__version__}. Each experiment runs the real decision '
        'code, and a naive version on the same seed.</p>'
        '<table>{0}{1}</table>'.format(header, ''.join(rows))
    )


def _section(report: ExperimentReport) -> str:
    name = html.escape(report.experiment)
    parts = [f'<h2 id="{name}">{name}</h2>']
    panels = make_panels(report)
    if panels:
        image = base64.b64encode(draw(panels)).decode()
        parts.append(
            f'<img alt="{name}, siskinbank beside naive" '
            f'src="data:image/png;base64,{image}">',
        )
    header = _row('bound', 'target', 'measured', 'verdict', tag='th')
    rows = [
        _row(
            html.escape(bound.name),
            f'{bound.bound:,.4g}',
            f'{bound.value:,.4g}',
            _verdict(holds=bound.holds),
        )
        for bound in report.bounds
    ]
    parts.append('<table>{0}{1}</table>'.format(header, ''.join(rows)))
    return '\n'.join(parts)


def _row(*cells: str, tag: str = 'td') -> str:
    formatted_cells = ''.join(f'<{tag}>{cell}</{tag}>' for cell in cells)
    return f'<tr>{formatted_cells}</tr>'


def _verdict(*, holds: bool) -> str:
    if holds:
        return 'holds'
    return '<span class="broken">does not hold</span>'
