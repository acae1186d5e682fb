"""Differences between two effective documents."""

import json
from typing import Any

from siskinbank.config.models import DocumentModel

__all__ = ('list_changes', 'list_value_changes')


def list_changes(old: DocumentModel, new: DocumentModel) -> list[str]:
    """Return one line for each value that differs.

    A line starts with ``+`` for an added value, ``-`` for a removed one and
    ``~`` for a changed one, followed by its path.
    """
    return list_value_changes(
        old.model_dump(mode='json'), new.model_dump(mode='json')
    )


def list_value_changes(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """Return the lines of ``list_changes`` for two mappings of JSON values.

    None counts as a value that is not there.
    """
    return _changes(old, new, '')


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
