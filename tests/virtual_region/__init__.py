"""Whole daemons without sockets, on a virtual clock, for tests of several files."""
