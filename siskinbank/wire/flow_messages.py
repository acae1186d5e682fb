"""Messages about the owners of flows."""

import dataclasses

from siskinbank.wire.messages import Message, message

__all__ = (
    'Moved',
    'Owner',
    'Restarted',
)


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Owner(Message):
    """Informs an entry which host owns a flow.

    ``flow`` is the 13-byte flow, ``address`` the 6-byte address of the owner.
    """

    kind = 2
    flow: bytes
    address: bytes
    incarnation: int
    generation: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class Moved(Message):
    """Informs a sidecar which host owns some flows of its service.

    The owner is the host at ``address``: mostly the sender, or a host to which
    the sender has a pointer. Packets of these flows may arrive at the receiver,
    which forwards them to the owner until the lease ends. ``flows`` holds
    64-bit flow numbers, 8 bytes each.
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
class Restarted(Message):
    """Informs the sidecars of a service that the sender lost its flow table."""

    kind = 30
    service: int
    address: bytes
    incarnation: int
