"""Ingress plug-ins that accept packets, connections or requests."""

from siskinbank.ingress.registry import (
    IngressHandle,
    IngressPlugin,
    ingresses,
)

__all__ = ('IngressHandle', 'IngressPlugin', 'ingresses')
