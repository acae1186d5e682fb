"""The load message between the sidecars of a pool."""

import dataclasses

from siskinbank.wire.messages import Message, message

__all__ = ('PoolLoad',)


@message
@dataclasses.dataclass(frozen=True, slots=True)
class PoolLoad(Message):
    """Loads of hosts of one service; the first one is the sender's.

    The four lists have the same length: the 64-bit seeds of the hosts (see
    ``Host.seed``), connections in use, free connections, and the age of each
    load in tenths of a second.
    """

    kind = 60
    service: int
    hosts: list  # type: ignore[type-arg]
    loads: list  # type: ignore[type-arg]
    free_connections: list  # type: ignore[type-arg]
    ages: list  # type: ignore[type-arg]
