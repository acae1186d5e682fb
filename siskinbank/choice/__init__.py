"""Which host gets a flow or request: ranking plug-ins."""

from siskinbank.choice.registry import choices

__all__ = ('choices',)
