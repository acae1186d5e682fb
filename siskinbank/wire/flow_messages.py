"""Messages about the owners of flows."""

import dataclasses

from siskinbank.wire.messages import Message, message

__all__ = (
    'Moved',
    'Owner',
    'Started',
)


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Owner(Message):
    """Tells an entry which host owns a flow.

    ``flow`` is its 13 bytes, ``address`` the owner's 6-byte address.
    """

    kind = 2
    flow: bytes
    address: bytes
    incarnation: int
    generation: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Moved(Message):
    """Tells a sidecar that the sender owns flows which rank it high.

    ``flows`` are 64-bit flow numbers, 8 bytes each. The receiver passes their
    packets on until the lease ends.
    """

    kind = 3
    service: int
    address: bytes
    incarnation: int
    generation: int
    lease_seconds: float
    flows: bytes


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Started(Message):
    """Tells the sidecars of a service that the sender lost its memory."""

    kind = 30
    service: int
    address: bytes
    incarnation: int
