"""Query tier between callers and many sharded backend servers."""

__version__ = '0.1.0'
