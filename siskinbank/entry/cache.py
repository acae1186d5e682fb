"""A bounded soft cache of flow owners, safe to lose."""

__all__ = ('OwnerCache',)


class OwnerCache:
    """Remembers the owners of recently seen flows.

    Two halves take turns: a full young half becomes the old one, and what the
    old half held without being used again is forgotten.
    """

    def __init__(self, size: int) -> None:
        """Remember at most ``size`` flows."""
        self._half = max(size // 2, 1)
        self._young: dict[int, bytes] = {}
        self._old: dict[int, bytes] = {}

    def __len__(self) -> int:
        """Return the number of flows that are remembered."""
        return len(self._young) + len(self._old)

    def get(self, flow: int) -> bytes | None:
        """Return the packed address of the owner."""
        owner = self._young.get(flow)
        if owner is None:
            owner = self._old.pop(flow, None)
            if owner is not None:
                self.put(flow, owner)
        return owner

    def put(self, flow: int, owner: bytes) -> None:
        """Remember an owner."""
        self._old.pop(flow, None)
        self._young[flow] = owner
        if len(self._young) >= self._half:
            self._old = self._young
            self._young = {}

    def forget(self, flow: int) -> None:
        """Forget a flow."""
        self._young.pop(flow, None)
        self._old.pop(flow, None)
