"""Pictures of an experiment's figures, siskinbank beside the naive version."""

import io
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from siskinbank.lab.experiment import ExperimentReport

__all__ = ('Panel', 'Shown', 'draw', 'panels_of')

_COLUMNS = 3
_PANEL_INCHES = (3.8, 2.6)
_DOTS_AN_INCH = 110
_OURS = '#1f6f8b'
_NAIVE = '#c8553d'
_MAX_PANELS = 12
_LEAST_POINTS = 3
_ROOM_FOR_LABELS = 1.25


@dataclass(frozen=True, slots=True)
class Shown:
    """One figure, or one curve of figures, and whose it is."""

    label: str
    ours: bool
    size: float = 0
    points: tuple[float, ...] = ()

    @property
    def colour(self) -> str:
        """The colour that tells whose figure it is."""
        return _OURS if self.ours else _NAIVE


@dataclass(frozen=True, slots=True)
class Panel:
    """One picture: bars, or lines where the figures are curves."""

    title: str
    shown: tuple[Shown, ...]

    @property
    def has_curves(self) -> bool:
        """Whether lines are drawn."""
        return any(figure.points for figure in self.shown)


def panels_of(report: ExperimentReport) -> list[Panel]:
    """Return the panels of all figures that can be compared.

    Figures with one name on both sides go side by side. So do figures whose
    names end with the same word, such as ``modulo_broken``, and those that
    start with it, such as ``broken_by_planned_changes``.
    """
    ours, naive = report.siskinbank, report.naive
    panels = []
    for name in ours:
        if name in naive:
            panel = _compare(name, ours[name], naive[name])
            if panel is not None:
                panels.append(panel)
    panels.extend(_related(report))
    return panels[:_MAX_PANELS]


def _compare(name: str, ours: Any, naive: Any) -> Panel | None:
    title = name.replace('_', ' ')
    if _is_number(ours) and _is_number(naive):
        bars = Shown('siskinbank', True, ours), Shown('naive', False, naive)
        return Panel(title, bars)
    if _is_curve(ours) and _is_curve(naive):
        curves = (
            Shown('siskinbank', True, points=tuple(ours)),
            Shown('naive', False, points=tuple(naive)),
        )
        return Panel(title, curves)
    return None


def _related(report: ExperimentReport) -> list[Panel]:
    """Return panels of naive figures without a namesake, by their last word."""
    stems: dict[str, list[Shown]] = {}
    for name in report.naive.keys() - report.siskinbank.keys():
        if _is_number(report.naive[name]):
            label, _underscore, stem = name.rpartition('_')
            shown = Shown(f'naive\n{label}', False, report.naive[name])
            stems.setdefault(stem, []).append(shown)
    panels = []
    for stem in sorted(stems):
        ours = _starting_with(f'{stem}_', report.siskinbank)
        naive = sorted(stems[stem], key=_label)
        if ours:
            panels.append(Panel(stem, (*ours, *naive)))
    return panels


def _starting_with(lead: str, figures: dict[str, Any]) -> list[Shown]:
    return [
        Shown(_our_label(name.removeprefix(lead)), True, figures[name])
        for name in figures
        if name.startswith(lead) and _is_number(figures[name])
    ]


def _our_label(name: str) -> str:
    words = name.replace('_', ' ')
    return f'siskinbank\n{words}'


def _label(shown: Shown) -> str:
    return shown.label


def _is_number(figure: Any) -> bool:
    return isinstance(figure, int | float) and not isinstance(figure, bool)


def _is_curve(figure: Any) -> bool:
    return (
        isinstance(figure, list)
        and len(figure) >= _LEAST_POINTS
        and all(_is_number(point) for point in figure)
    )


def draw(panels: Sequence[Panel]) -> bytes:
    """Return a PNG picture of some panels.

    Raises:
        ImportError: matplotlib is not installed.
    """
    # An optional extra: only those who write reports install it.
    from matplotlib.figure import Figure

    columns = min(_COLUMNS, len(panels))
    rows = -(-len(panels) // columns)
    figure = Figure(
        figsize=(_PANEL_INCHES[0] * columns, _PANEL_INCHES[1] * rows),
        layout='constrained',
    )
    grid = figure.subplots(rows, columns, squeeze=False)
    places = [place for row in grid for place in row]
    for place, panel in zip(places, panels, strict=False):
        _draw_panel(place, panel)
    for unused in places[len(panels) :]:
        unused.set_visible(False)
    held = io.BytesIO()
    figure.savefig(held, format='png', dpi=_DOTS_AN_INCH)
    return held.getvalue()


def _draw_panel(place: Any, panel: Panel) -> None:
    place.set_title(panel.title, fontsize=10)
    place.spines[['top', 'right']].set_visible(False)
    place.tick_params(labelsize=8)
    if panel.has_curves:
        _draw_curves(place, panel.shown)
    else:
        _draw_bars(place, panel.shown)


def _draw_curves(place: Any, curves: Sequence[Shown]) -> None:
    for curve in curves:
        place.plot(curve.points, color=curve.colour, label=curve.label)
    place.set_ylim(bottom=0)
    place.legend(fontsize=8, frameon=False)


def _draw_bars(place: Any, bars: Sequence[Shown]) -> None:
    drawn = place.barh(
        range(len(bars)),
        [bar.size for bar in bars],
        color=[bar.colour for bar in bars],
    )
    place.set_yticks(range(len(bars)), [bar.label for bar in bars])
    place.invert_yaxis()
    place.bar_label(
        drawn,
        labels=[f'{bar.size:,.4g}' for bar in bars],
        padding=3,
        fontsize=8,
    )
    most = max(bar.size for bar in bars)
    if min(bar.size for bar in bars) >= 0:
        place.set_xlim(0, most * _ROOM_FOR_LABELS or 1)
