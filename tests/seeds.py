"""Seeds of randomized tests, which the environment may replace."""

import os

__all__ = ('seeds_to_run',)


def seeds_to_run(variable: str, default: range) -> range:
    """Return the seeds that a test runs.

    Args:
        variable: environment variable that replaces them with a range such as
            ``2000-51999``, both ends included.
        default: the seeds without that variable.
    """
    text = os.environ.get(variable)
    if not text:
        return default
    first, _, last = text.partition('-')
    return range(int(first), int(last or first) + 1)
