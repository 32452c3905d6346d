"""alderbridge: a cluster scheduler that rents the machines it needs."""

__version__ = "0.2.0"
