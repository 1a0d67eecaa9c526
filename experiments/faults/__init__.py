"""Faults on separate processes over real sockets, checked against the truth."""
