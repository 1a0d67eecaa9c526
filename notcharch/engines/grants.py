"""A steward's outstanding grants, indexed by id, call and gateway."""

import msgspec

from notcharch.scheduling.calls import CallKey, QueuedCall
from notcharch.values.identifiers import GrantId, Member


class Grant(msgspec.Struct, frozen=True):
    """An engine slot that a gateway may use; `granted_at` is in seconds."""

    grant: GrantId
    call: QueuedCall
    gateway: Member
    granted_at: float


class GrantTable:
    """All outstanding grants of one steward for one engine."""

    def __init__(self) -> None:
        """Start without grants."""
        self._by_id: dict[GrantId, Grant] = {}
        self._by_call: dict[CallKey, GrantId] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, grant: Grant) -> None:
        """Add a new grant."""
        self._by_id[grant.grant] = grant
        self._by_call[grant.call.key] = grant.grant

    def get(self, identifier: GrantId) -> Grant | None:
        """Return an outstanding grant, or None."""
        return self._by_id.get(identifier)

    def of_call(self, key: CallKey) -> Grant | None:
        """Return the outstanding grant of a call's attempt, or None."""
        identifier = self._by_call.get(key)
        return None if identifier is None else self._by_id[identifier]

    def remove(self, identifier: GrantId) -> Grant | None:
        """Remove and return a grant; None if it is not outstanding."""
        grant = self._by_id.pop(identifier, None)
        if grant is not None:
            del self._by_call[grant.call.key]
        return grant

    def gateways(self) -> frozenset[Member]:
        """Return every process that holds a grant."""
        return frozenset(grant.gateway for grant in self._by_id.values())

    def of_gateway(self, gateway: Member) -> tuple[Grant, ...]:
        """Return the grants of one process."""
        return tuple(g for g in self._by_id.values() if g.gateway == gateway)

    def oldest_first(self) -> tuple[Grant, ...]:
        """Return all grants, oldest first."""
        return tuple(self._by_id.values())
