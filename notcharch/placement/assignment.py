"""Assigns each engine to the daemon that is its steward, from the membership view.

A leaving daemon is assigned engines only if no other daemon is live.

Assignments are cached across membership changes. Removing a member that is not the
steward of an engine does not move the engine, and a member that joins can only replace
the steward, so comparing the steward with the members that joined is enough. Engines of
removed members are ranked against all members on the next lookup.
"""

from notcharch.placement.interface import LiveMember, MembershipView
from notcharch.placement.rendezvous import winner
from notcharch.values.identifiers import DaemonName, EngineName


class Assignment:
    """Maps engines to stewards by rendezvous hashing."""

    def __init__(self, view: MembershipView) -> None:
        """Subscribe to the changes of `view`."""
        self._view = view
        self._stewards: dict[EngineName, DaemonName] = {}
        self._active: dict[DaemonName, LiveMember] = {}
        self._leaving: list[LiveMember] = []
        self._refresh_members()
        view.on_change(self._on_view_change)

    def steward_of(self, engine: EngineName) -> DaemonName | None:
        """Return the steward of an engine, or None if no daemon is known."""
        steward = self._stewards.get(engine)
        if steward is not None:
            return steward
        candidates = list(self._active.values()) or self._leaving
        steward = winner(_key(engine), candidates)
        if steward is not None:
            self._stewards[engine] = steward
        return steward

    def _refresh_members(self) -> None:
        members = self._view.live_members()
        active = (member for member in members if not member.leaving)
        self._active = {member.member.daemon: member for member in active}
        self._leaving = [member for member in members if member.leaving]

    def _on_view_change(self) -> None:
        """Update the cached stewards that the change can affect."""
        previous_active = self._active
        self._refresh_members()
        if not previous_active or not self._active:
            self._stewards.clear()  # cached stewards may be leaving members
            return
        joined = [
            self._active[name] for name in self._active.keys() - previous_active.keys()
        ]
        for engine, steward in tuple(self._stewards.items()):
            current = self._active.get(steward)
            best = None if current is None else winner(_key(engine), [current, *joined])
            if best is None:
                del self._stewards[engine]
            else:
                self._stewards[engine] = best


def _key(engine: EngineName) -> str:
    return f"engine/{engine}"
