"""Host selection for flows and requests: ranking plug-ins and placement."""

from __future__ import annotations

__all__ = ('choices',)


def __getattr__(name: str) -> object:
    """Load the registry on first use; placement works without it."""
    if name == 'choices':
        from siskinbank.choice.registry import choices

        return choices
    raise AttributeError(name)
