"""What makes several attempts of callers the same request. Pure.

Each attempt has an id, a deadline and headers of its own. An engine acts on the method, the
target, the body and the turn from which the call goes on, for a tenant at a host.
"""

from hashlib import blake2b

from notcharch.calls.interface import OpaqueCall

DIGEST_BYTES = 16
LENGTH_BYTES = 8


def identity_of(call: OpaqueCall) -> str:
    """Return the request's identity, computed once for a call.

    It is a cryptographic digest, as callers choose the fields: none can make a request
    that is taken for another one.
    """
    if not call.identity:
        call.identity = _digest(call)
    return call.identity


def _digest(call: OpaqueCall) -> str:
    fields = (
        call.tenant_name.encode(),
        call.head.get(b"host") or b"",
        call.head.method,
        call.head.target,
        call.previous_turn.encode(),
        call.body,
    )
    digest = blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.hexdigest()
