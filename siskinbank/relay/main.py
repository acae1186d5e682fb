"""Command of the users' platform: ``main.pyc entry|sidecar``."""

from __future__ import annotations

import gc
import sys
from posix import environ

from siskinbank.platform.documents import DocumentError
from siskinbank.platform.settings import SETTINGS_VARIABLE
from siskinbank.relay.node import Node

__all__ = (
    'DETOURS_VARIABLE',
    'LINK_BUDGET_VARIABLE',
    'SPLIT_OVERFLOW_VARIABLE',
    'main',
    'read_switch',
)

# Whether an entry sends copies of retransmitted packets through a third data
# centre.
DETOURS_VARIABLE = 'SISKINBANK_DETOURS'
# Whether an entry sheds packets while its link is backlogged.
LINK_BUDGET_VARIABLE = 'SISKINBANK_LINK_BUDGET'
SPLIT_OVERFLOW_VARIABLE = 'SISKINBANK_SPLIT_OVERFLOW'
_SWITCHES = {b'on': True, b'off': False}

# When an entry fails the readiness probe on behalf of better ones.
_ROTATION_VARIABLE = b'SISKINBANK_ENTRY_ROTATION'


def main(role: str) -> int:
    """Run an entry or a sidecar until the platform stops it.

    Args:
        role: ``entry`` or ``sidecar``.

    Returns:
        Exit status: 0 after a planned stop, 1 if the start failed.
    """
    # These processes create no reference cycles; see docs/design/platform.md.
    gc.disable()
    path = environ.get(SETTINGS_VARIABLE.encode(), b'').decode()
    try:
        node = Node(path)
        _create_program(role, node)
    except (OSError, DocumentError) as error:
        sys.stdout.write(f'process.refused reason={error}\n')
        return 1
    node.run()
    return 0


def _create_program(role: str, node: Node) -> object:
    """Create the entry or sidecar; only the modules of the role are loaded."""
    if role == 'sidecar':
        from siskinbank.relay.sidecar import Sidecar

        return Sidecar(node)
    from siskinbank.relay.entry import Entry

    rotation = environ.get(_ROTATION_VARIABLE, b'capacity')
    return Entry(
        node,
        rotation.decode('utf-8', 'replace'),
        split_overflow=read_switch(SPLIT_OVERFLOW_VARIABLE),
        link_budget=read_switch(LINK_BUDGET_VARIABLE, default=b'on'),
        detours=read_switch(DETOURS_VARIABLE, default=b'on'),
    )


def read_switch(name: str, default: bytes = b'off') -> bool:
    """Return whether an environment variable is ``on``.

    Args:
        name: name of the variable.
        default: its value if it is not set, ``on`` or ``off``.

    Raises:
        DocumentError: the variable is neither ``on`` nor ``off``.
    """
    text = environ.get(name.encode(), default)
    if text not in _SWITCHES:
        raise DocumentError(f'{name} is {text!r}, expected on or off')
    return _SWITCHES[text]


if __name__ == '__main__':
    sys.exit(main(sys.argv[1]))
