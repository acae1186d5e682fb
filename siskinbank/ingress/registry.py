"""The registry of ingress plug-ins."""

from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from siskinbank.kernel.registry import Registry

__all__ = ('IngressHandle', 'IngressPlugin', 'ingresses')


@dataclass(frozen=True, slots=True)
class IngressHandle:
    """A running ingress.

    ``drain`` stops accepting work and returns when open work has ended.
    """

    drain: Callable[[], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True)
class IngressPlugin:
    """A kind of ingress.

    ``start`` takes the entry's context, an IP address and a port.
    """

    name: str
    summary: str
    start: Callable[[Any, str, int], Awaitable[IngressHandle]]
    aliases: tuple[str, ...] = ()


ingresses: Registry[IngressPlugin] = Registry('ingress', 'siskinbank.ingress')
