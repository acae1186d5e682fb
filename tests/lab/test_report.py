"""Test the HTML page with the experiments' figures."""

import unittest

from siskinbank.lab.commands.report import experiments
from siskinbank.lab.experiment import Bound, ExperimentReport
from siskinbank.lab.plots import draw, make_panels
from siskinbank.lab.report import write_page

REPORT = ExperimentReport(
    'try',
    3,
    {'rate': 2.0, 'curve': [1, 2, 3], 'broken_by_death': 0, 'text': 'x'},
    {'rate': 1.0, 'curve': [3, 2, 1], 'modulo_broken': 7, 'text': 'y'},
    [Bound('rate <now>', 1, 2, True), Bound('broken', 0, 7, False)],
)


class TestReport(unittest.TestCase):
    """Test the panels, the page and the list of experiments."""

    def test_panels(self) -> None:
        """Check that matching figures, curves and related figures are shown."""
        panels = {panel.title: panel for panel in make_panels(REPORT)}
        self.assertEqual(set(panels), {'rate', 'curve', 'broken'})
        self.assertTrue(panels['curve'].has_curves)
        bar_values = [bar.value for bar in panels['broken'].series]
        self.assertEqual(bar_values, [0, 7])
        image = draw(list(panels.values()))
        self.assertTrue(image.startswith(b'\x89PNG'))

    def test_page(self) -> None:
        """Check that the page shows failed bounds and experiments not run."""
        page = write_page([REPORT], {'absent': 'no <socket>'})
        for part in (
            'does not hold',
            'rate &lt;now&gt;',
            'not run: no &lt;socket&gt;',
            'data:image/png;base64,',
        ):
            with self.subTest(part=part):
                self.assertIn(part, page)

    def test_finds_experiments(self) -> None:
        """Check that experiments are found, and no other commands."""
        found = experiments()
        self.assertLessEqual({'flows', 'forwarding', 'key-cost'}, set(found))
        self.assertFalse({'demo', 'soak', 'platform', 'report'} & set(found))
