"""Tests of the plug-in registry."""

import unittest

from siskinbank.choice import choices
from siskinbank.choice.registry import ChoicePlugin
from siskinbank.ingress import ingresses
from siskinbank.kernel.registry import PluginNotFoundError, Registry


def _plugin(name: str, *aliases: str) -> ChoicePlugin:
    return ChoicePlugin(name, 'a test', lambda _hosts, _count: list, aliases)


class TestRegistry(unittest.TestCase):
    """Looking plug-ins up."""

    def test_finds_by_name_and_alias(self) -> None:
        """Names and aliases lead to the same plug-in."""
        self.assertIs(choices.find('rendezvous'), choices.find('hrw'))

    def test_lists_ingresses(self) -> None:
        """All three built-in ingresses register themselves."""
        self.assertEqual(ingresses.names(), ['fou', 'http', 'tcp'])

    def test_missing_names_the_known(self) -> None:
        """The error says what there is."""
        with self.assertRaisesRegex(PluginNotFoundError, 'known: .*tcp'):
            ingresses.find('quic')

    def test_refuses_twins(self) -> None:
        """Two plug-ins cannot share a name."""
        registry: Registry[ChoicePlugin] = Registry('x', 'siskinbank.choice')
        registry.register(_plugin('first', 'both'))
        with self.assertRaisesRegex(ValueError, "'both'"):
            registry.register(_plugin('second', 'both'))
