"""Embeddable building blocks for coordination without shared state.

Importing this package loads nothing else; each name is imported on its first
use. No name needs the daemons, a web library or a socket; only those for the
dissemination of configuration load validation and metrics. The client for
requests, which needs aiohttp, is `siskinbank.coordination.client`.
"""

import importlib
from typing import Any

_EXPORTS = {
    'Backoff': 'siskinbank.coordination.backoff',
    'ClimbingLimit': 'siskinbank.admission.limit',
    'Clock': 'siskinbank.kernel.clock',
    'DocumentStore': 'siskinbank.directory.store',
    'EventLog': 'siskinbank.kernel.events',
    'FakeClock': 'siskinbank.kernel.clock',
    'Gossip': 'siskinbank.peers.gossip',
    'Identity': 'siskinbank.peers.gossip',
    'Key': 'siskinbank.wire.keys',
    'KeyRing': 'siskinbank.wire.keys',
    'Leases': 'siskinbank.coordination.leases',
    'Manifest': 'siskinbank.config.sections',
    'Metrics': 'siskinbank.kernel.metrics',
    'OnceRegister': 'siskinbank.coordination.tickets',
    'ReplayGuard': 'siskinbank.wire.replay',
    'RetryBudget': 'siskinbank.coordination.budget',
    'Subscription': 'siskinbank.kernel.timers',
    'TicketOffice': 'siskinbank.coordination.tickets',
    'TimerService': 'siskinbank.kernel.timers',
    'boot_seconds': 'siskinbank.kernel.clock',
    'hex_digest': 'siskinbank.util',
    'prepare_ranking': 'siskinbank.coordination.ranking',
}

__all__ = tuple(sorted(_EXPORTS))  # noqa: PLE0605


def __getattr__(name: str) -> Any:  # noqa: WPS413
    """Import an exported name on first use (PEP 562)."""
    if name not in _EXPORTS:
        raise AttributeError(f'module {__name__} has no attribute {name}')
    return getattr(importlib.import_module(_EXPORTS[name]), name)


def __dir__() -> list[str]:  # noqa: WPS413
    """Return all exported names."""
    return list(__all__)
