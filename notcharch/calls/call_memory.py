"""The memory of a call under way."""

from notcharch.calls.interface import OpaqueCall

CALL_BYTES = 12 * 1024
"""Memory of a call under way besides its head and body, with its engine's connection."""
SMALL_CALL_BYTES = 32 * 1024
"""A call of this size, with its body of up to 16 KB or so, may use the calls' reserve."""
RESERVED_CALLS_BYTES = 1024 * 1024
"""What small calls have beside the pool: room for 32 of the largest of them."""


def call_bytes(call: OpaqueCall) -> int:
    """Return how much memory a call takes from its start to its end, about."""
    return CALL_BYTES + call.head.memory_bytes + len(call.body)
