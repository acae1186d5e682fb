"""Validation of values inside the lists of messages."""

from typing import Any

__all__ = ('MAX_NAME_LENGTH', 'is_number_below', 'is_valid_name')

#: Maximum length of the name of an instance or data centre, in characters.
MAX_NAME_LENGTH = 63


def is_number_below(given: Any, limit: int) -> bool:
    """Return whether ``given`` is an integer from 0 to below ``limit``."""
    if not isinstance(given, int) or isinstance(given, bool):
        return False
    return 0 <= given < limit


def is_valid_name(given: Any) -> bool:
    """Return whether ``given`` is a valid instance or data centre name."""
    return isinstance(given, str) and 0 < len(given) <= MAX_NAME_LENGTH
