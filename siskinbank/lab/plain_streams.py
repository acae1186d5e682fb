"""Streams without TLS, so that a simulated faulty link can parse messages."""

from typing import Any

from siskinbank.peers.connect import PeerStreams

__all__ = ('PlainStreams',)


class PlainStreams(PeerStreams):
    """Opens and accepts unencrypted streams; for experiments only."""

    def _client_options(self) -> dict[str, Any]:
        return {}

    def _server_options(self) -> dict[str, Any]:
        return {}
