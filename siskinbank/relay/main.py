"""Start of a process on the users' platform: ``main.pyc entry|sidecar``."""

from __future__ import annotations

import gc
import sys
from posix import environ

from siskinbank.platform.documents import Unreadable
from siskinbank.platform.settings import SETTINGS_VARIABLE
from siskinbank.relay.node import Node

__all__ = ('main',)


def main(role: str) -> int:
    """Run one process until the platform ends it.

    Args:
        role: ``entry`` or ``sidecar``.

    Returns:
        0 after a planned stop, 1 if the process could not start.
    """
    # Nothing here makes cycles of objects; see docs/design/platform.md.
    gc.disable()
    path = environ.get(SETTINGS_VARIABLE.encode(), b'').decode()
    try:
        node = Node(path)
        _program(role, node)
    except (OSError, Unreadable) as error:
        sys.stdout.write(f'process.refused reason={error}\n')
        return 1
    node.run()
    return 0


def _program(role: str, node: Node) -> object:
    """Make the program of a role; each loads its own modules only."""
    if role == 'sidecar':
        from siskinbank.relay.sidecar import Sidecar

        return Sidecar(node)
    from siskinbank.relay.entry import Entry

    return Entry(node)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1]))
