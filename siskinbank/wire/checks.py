"""Checks of what messages carry inside lists."""

from typing import Any

__all__ = ('MAX_NAME', 'is_name', 'is_number')

#: The longest name of an instance or data centre.
MAX_NAME = 63


def is_number(given: Any, limit: int) -> bool:
    """Whether ``given`` is an integer from 0 to below ``limit``."""
    if not isinstance(given, int) or isinstance(given, bool):
        return False
    return 0 <= given < limit


def is_name(given: Any) -> bool:
    """Whether ``given`` may be the name of an instance or data centre."""
    return isinstance(given, str) and 0 < len(given) <= MAX_NAME
