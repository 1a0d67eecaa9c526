"""Keeps large buffers that were freed from staying with the process."""

import ctypes
from collections.abc import Callable
from typing import Any

M_MMAP_THRESHOLD = -3
"""The parameter of glibc's `mallopt`."""
MMAP_THRESHOLD_BYTES = 128 * 1024
"""Larger buffers are mapped on their own, and return to the system when they are freed.

glibc raises this up to 32 MB with the first large buffer that is freed; later ones then leave
holes among small objects. Reads from connections have 64 KB."""


def return_large_buffers(load: Callable[[], Any] = lambda: ctypes.CDLL(None)) -> bool:
    """Fix the threshold; return whether the C library took it."""
    try:
        return bool(load().mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
    except (OSError, AttributeError):
        return False
