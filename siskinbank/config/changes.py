"""Differences between two effective documents."""

import json
from typing import Any

from siskinbank.config.models import DocumentModel

__all__ = ('list_changes',)


def list_changes(old: DocumentModel, new: DocumentModel) -> list[str]:
    """Return one line for each value that differs.

    A line starts with ``+`` for an added value, ``-`` for a removed one and
    ``~`` for a changed one, followed by its path.
    """
    return _changes(
        old.model_dump(mode='json'), new.model_dump(mode='json'), ''
    )


def _changes(old: Any, new: Any, path: str) -> list[str]:
    if isinstance(old, dict) and isinstance(new, dict):
        lines = []
        for key in sorted(old.keys() | new.keys()):
            key_path = f'{path}.{key}' if path else str(key)
            lines.extend(_changes(old.get(key), new.get(key), key_path))
        return lines
    if old == new:
        return []
    if old is None:
        return [f'+ {path}: {json.dumps(new)}']
    if new is None:
        return [f'- {path}: {json.dumps(old)}']
    return [f'~ {path}: {json.dumps(old)} -> {json.dumps(new)}']
