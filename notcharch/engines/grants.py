"""The grants that a steward has out, found by id, by call and by gateway."""

import msgspec

from notcharch.scheduling.calls import CallKey, QueuedCall
from notcharch.values.identifiers import GrantId, Member


class Grant(msgspec.Struct, frozen=True):
    """A slot of the engine that a gateway may use; `granted_at` in seconds."""

    grant: GrantId
    call: QueuedCall
    gateway: Member
    granted_at: float


class GrantTable:
    """All grants of one steward for one engine."""

    def __init__(self) -> None:
        """Start empty."""
        self._by_id: dict[GrantId, Grant] = {}
        self._by_call: dict[CallKey, GrantId] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def add(self, grant: Grant) -> None:
        """Keep a new grant."""
        self._by_id[grant.grant] = grant
        self._by_call[grant.call.key] = grant.grant

    def get(self, identifier: GrantId) -> Grant | None:
        """Give a grant, if it is out."""
        return self._by_id.get(identifier)

    def of_call(self, key: CallKey) -> Grant | None:
        """Give the grant of an attempt, if it is out."""
        identifier = self._by_call.get(key)
        return None if identifier is None else self._by_id[identifier]

    def remove(self, identifier: GrantId) -> Grant | None:
        """Take a grant back; None if it is not out (any more)."""
        grant = self._by_id.pop(identifier, None)
        if grant is not None:
            del self._by_call[grant.call.key]
        return grant

    def gateways(self) -> frozenset[Member]:
        """Give every process that holds a grant."""
        return frozenset(grant.gateway for grant in self._by_id.values())

    def of_gateway(self, gateway: Member) -> tuple[Grant, ...]:
        """Give the grants of one process."""
        return tuple(g for g in self._by_id.values() if g.gateway == gateway)

    def oldest(self) -> tuple[Grant, ...]:
        """Give all grants, the oldest first."""
        return tuple(self._by_id.values())
