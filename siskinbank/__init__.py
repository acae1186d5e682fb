"""A layer-4 load balancer that small firms can understand and keep running."""

__version__ = '0.1.0'

__all__ = ('__version__',)
