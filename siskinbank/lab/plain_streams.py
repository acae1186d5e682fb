"""Streams without TLS, so that a faulty link can see their messages."""

from typing import Any

from siskinbank.peers.connect import PeerStreams

__all__ = ('PlainStreams',)


class PlainStreams(PeerStreams):
    """Opens and accepts streams in the clear; for experiments only."""

    def _client_options(self) -> dict[str, Any]:
        return {}

    def _server_options(self) -> dict[str, Any]:
        return {}
