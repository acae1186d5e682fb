"""Probes that ask other hosts whether they own a flow that is new here."""

__all__ = ('OwnerProbes',)

_MAX_PROBES = 10_000
_MAX_TRIES = 2
#: How long a probe may be in flight before it counts as lost.
_IN_FLIGHT_SECONDS = 0.5
#: Time since the last probe of a flow after which its tries are reset.
_FORGET_SECONDS = 30


class OwnerProbes:
    """Table of the recently sent probes, by flow."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._probes: dict[bytes, tuple[float, int]] = {}

    def __len__(self) -> int:
        """Return the number of probed flows."""
        return len(self._probes)

    def start(self, flow: bytes, now: float) -> bool:
        """Record a probe; return False if the flow has no tries left."""
        since, tries = self._probes.get(flow, (now, 0))
        if now - since > _FORGET_SECONDS:
            tries = 0
        if tries >= _MAX_TRIES:
            self._probes.pop(flow)
            return False
        if len(self._probes) >= _MAX_PROBES:
            self._probes.clear()
        self._probes[flow] = (now, tries + 1)
        return True

    def is_in_flight(self, flow: bytes, now: float) -> bool:
        """Return whether a probe of the flow is still in flight."""
        probe = self._probes.get(flow)
        return probe is not None and now - probe[0] < _IN_FLIGHT_SECONDS

    def end(self, flow: bytes) -> None:
        """Remove a flow that was admitted."""
        self._probes.pop(flow, None)
