"""The configuration in force: the newest valid one from the store or a peer."""

from __future__ import annotations

from zlib import compress, decompress
from zlib import error as CompressionError

from siskinbank.platform.documents import DocumentError
from siskinbank.platform.records import Route, WarmUp, decode_configuration

__all__ = ('Configuration',)

# Fast compression: each process that forwards a configuration compresses it
# once.
_COMPRESSION_LEVEL = 1


class Configuration:
    """The configuration in force, replaced only by complete newer versions.

    Attributes:
        version: version number, 0 without a configuration.
        routes: routes by address and port, as in a flow key.
        warm_ups: limits of the services after a cold start, by service name.
        services: names of the services and of those that routes state.
        idle_timeout_s: time in seconds after which hosts may discard idle flows,
            None if it is not stated.
    """

    __slots__ = (
        '_packed',
        '_raw',
        'idle_timeout_s',
        'routes',
        'services',
        'version',
        'warm_ups',
    )

    def __init__(self) -> None:
        """Create an empty configuration with version 0."""
        self.version = 0
        self.routes: dict[bytes, Route] = {}
        self.warm_ups: dict[str, WarmUp] = {}
        self.services: frozenset[str] = frozenset()
        self.idle_timeout_s: float | None = None
        self._raw = b''
        self._packed = b''

    @property
    def packed(self) -> bytes:
        """The compressed document, as it is sent to peers."""
        if not self._packed:
            self._packed = compress(self._raw, _COMPRESSION_LEVEL)
        return self._packed

    def warm_up_of(self, service: str) -> tuple[float, float]:
        """Return how the cold hosts of a service are limited.

        Returns:
            Their rate in requests a second, 0 without a limit, and the duration
            of a warm-up in seconds.
        """
        warm_up = self.warm_ups.get(service)
        if warm_up is None:
            return 0, 0
        return warm_up.cold_requests_per_s, warm_up.duration_s

    def apply(self, raw: bytes) -> bool:
        """Apply a configuration if it is newer; return whether it was applied.

        Args:
            raw: the operator's document.

        Raises:
            DocumentError: the document is invalid; the configuration in force
                is kept.
        """
        version, routes, warm_ups, idle_timeout_s = decode_configuration(raw)
        if version <= self.version:
            return False
        self.version = version
        self.routes = routes
        self.warm_ups = warm_ups
        self.services = frozenset(warm_ups).union(
            service for route in routes.values() for service, _ in route.shares
        )
        self.idle_timeout_s = idle_timeout_s
        self._raw = raw
        self._packed = b''
        return True

    def apply_packed(self, packed: bytes) -> bool:
        """Apply a compressed configuration from a peer if it is newer.

        Raises:
            DocumentError: the document is damaged; the configuration in force
                is kept.
        """
        try:
            raw = decompress(packed)
        except CompressionError as error:
            raise DocumentError(str(error)) from None
        return self.apply(raw)
