"""Tests of the plug-in registry."""

import unittest

from siskinbank.choice import choices
from siskinbank.choice.registry import ChoicePlugin
from siskinbank.ingress import ingresses
from siskinbank.kernel.registry import PluginNotFoundError, Registry


def _plugin(name: str, *aliases: str) -> ChoicePlugin:
    return ChoicePlugin(name, 'a test', lambda _hosts, _count: list, aliases)


class TestRegistry(unittest.TestCase):
    """Tests of registration and lookup."""

    def test_finds_by_name_and_alias(self) -> None:
        """A name and its alias return the same plug-in."""
        self.assertIs(choices.find('rendezvous'), choices.find('hrw'))

    def test_lists_ingresses(self) -> None:
        """All three built-in ingresses are registered."""
        self.assertEqual(ingresses.names(), ['fou', 'http', 'tcp'])

    def test_error_lists_known_names(self) -> None:
        """The error for an unknown name lists the known ones."""
        with self.assertRaisesRegex(PluginNotFoundError, 'known: .*tcp'):
            ingresses.find('quic')

    def test_rejects_duplicate_names(self) -> None:
        """Two plug-ins with the same alias are rejected."""
        registry: Registry[ChoicePlugin] = Registry('x', 'siskinbank.choice')
        registry.register(_plugin('first', 'both'))
        with self.assertRaisesRegex(ValueError, "'both'"):
            registry.register(_plugin('second', 'both'))
