"""Plots of an experiment's figures, siskinbank beside the naive version."""

import io
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from siskinbank.lab.experiment import ExperimentReport

__all__ = ('Panel', 'Series', 'draw', 'make_panels')

_MAX_COLUMNS = 3
_PANEL_INCHES = (3.8, 2.6)
_DOTS_PER_INCH = 110
_SISKINBANK_COLOUR = '#1f6f8b'
_NAIVE_COLOUR = '#c8553d'
_MAX_PANELS = 12
_MIN_CURVE_POINTS = 3
_LABEL_SPACE_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class Series:
    """One bar or one curve of a panel.

    Attributes:
        label: label in the plot.
        is_siskinbank: whether the figures are those of siskinbank.
        value: length of the bar.
        points: points of the curve; empty for a bar.
    """

    label: str
    is_siskinbank: bool
    value: float = 0
    points: tuple[float, ...] = ()

    @property
    def colour(self) -> str:
        """The colour of siskinbank or of the naive version."""
        return _SISKINBANK_COLOUR if self.is_siskinbank else _NAIVE_COLOUR


@dataclass(frozen=True, slots=True)
class Panel:
    """One plot with a title, either of bars or of curves."""

    title: str
    series: tuple[Series, ...]

    @property
    def has_curves(self) -> bool:
        """Return whether the panel shows curves."""
        return any(series.points for series in self.series)


def make_panels(report: ExperimentReport) -> list[Panel]:
    """Return panels for the figures that can be compared.

    Figures with the same name on both sides share a panel. Other naive
    figures are matched by the last word of their name with siskinbank's
    figures that start with this word, such as ``modulo_broken`` with
    ``broken_by_planned_changes``.
    """
    siskinbank, naive = report.siskinbank, report.naive
    panels = []
    for name in siskinbank:
        if name in naive:
            panel = _make_panel(name, siskinbank[name], naive[name])
            if panel is not None:
                panels.append(panel)
    panels.extend(_make_related_panels(report))
    return panels[:_MAX_PANELS]


def _make_panel(name: str, siskinbank: Any, naive: Any) -> Panel | None:
    title = name.replace('_', ' ')
    if _is_number(siskinbank) and _is_number(naive):
        bars = (
            Series('siskinbank', True, siskinbank),
            Series('naive', False, naive),
        )
        return Panel(title, bars)
    if _is_curve(siskinbank) and _is_curve(naive):
        curves = (
            Series('siskinbank', True, points=tuple(siskinbank)),
            Series('naive', False, points=tuple(naive)),
        )
        return Panel(title, curves)
    return None


def _make_related_panels(report: ExperimentReport) -> list[Panel]:
    """Return panels of figures without a counterpart of the same name.

    Naive figures are grouped by the last word of their names.
    """
    naive_by_last_word: dict[str, list[Series]] = {}
    for name in report.naive.keys() - report.siskinbank.keys():
        if _is_number(report.naive[name]):
            label, _underscore, last_word = name.rpartition('_')
            series = Series(f'naive\n{label}', False, report.naive[name])
            naive_by_last_word.setdefault(last_word, []).append(series)
    panels = []
    for last_word in sorted(naive_by_last_word):
        siskinbank = _series_with_prefix(f'{last_word}_', report.siskinbank)
        naive = sorted(naive_by_last_word[last_word], key=_label_of)
        if siskinbank:
            panels.append(Panel(last_word, (*siskinbank, *naive)))
    return panels


def _series_with_prefix(prefix: str, figures: dict[str, Any]) -> list[Series]:
    return [
        Series(
            _siskinbank_label(name.removeprefix(prefix)), True, figures[name]
        )
        for name in figures
        if name.startswith(prefix) and _is_number(figures[name])
    ]


def _siskinbank_label(name: str) -> str:
    words = name.replace('_', ' ')
    return f'siskinbank\n{words}'


def _label_of(series: Series) -> str:
    return series.label


def _is_number(figure: Any) -> bool:
    return isinstance(figure, int | float) and not isinstance(figure, bool)


def _is_curve(figure: Any) -> bool:
    return (
        isinstance(figure, list)
        and len(figure) >= _MIN_CURVE_POINTS
        and all(_is_number(point) for point in figure)
    )


def draw(panels: Sequence[Panel]) -> bytes:
    """Return a PNG image of the panels.

    Raises:
        ImportError: matplotlib is not installed.
    """
    # Optional dependency, installed by the extra siskinbank[report].
    from matplotlib.figure import Figure

    columns = min(_MAX_COLUMNS, len(panels))
    rows = -(-len(panels) // columns)
    figure = Figure(
        figsize=(_PANEL_INCHES[0] * columns, _PANEL_INCHES[1] * rows),
        layout='constrained',
    )
    grid = figure.subplots(rows, columns, squeeze=False)
    axes = [ax for row in grid for ax in row]
    for ax, panel in zip(axes, panels, strict=False):
        _draw_panel(ax, panel)
    for unused in axes[len(panels) :]:
        unused.set_visible(False)
    buffer = io.BytesIO()
    figure.savefig(buffer, format='png', dpi=_DOTS_PER_INCH)
    return buffer.getvalue()


def _draw_panel(ax: Any, panel: Panel) -> None:
    ax.set_title(panel.title, fontsize=10)
    ax.spines[['top', 'right']].set_visible(False)
    ax.tick_params(labelsize=8)
    if panel.has_curves:
        _draw_curves(ax, panel.series)
    else:
        _draw_bars(ax, panel.series)


def _draw_curves(ax: Any, curves: Sequence[Series]) -> None:
    for curve in curves:
        ax.plot(curve.points, color=curve.colour, label=curve.label)
    ax.set_ylim(bottom=0)
    ax.legend(fontsize=8, frameon=False)


def _draw_bars(ax: Any, bars: Sequence[Series]) -> None:
    container = ax.barh(
        range(len(bars)),
        [bar.value for bar in bars],
        color=[bar.colour for bar in bars],
    )
    ax.set_yticks(range(len(bars)), [bar.label for bar in bars])
    ax.invert_yaxis()
    ax.bar_label(
        container,
        labels=[f'{bar.value:,.4g}' for bar in bars],
        padding=3,
        fontsize=8,
    )
    largest = max(bar.value for bar in bars)
    if min(bar.value for bar in bars) >= 0:
        ax.set_xlim(0, largest * _LABEL_SPACE_FACTOR or 1)
