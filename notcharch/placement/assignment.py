"""The present assignment of engines to daemons, from membership.

Leaving daemons get nothing while there are others; what they hold moves away.

Choices are kept while the membership changes around them. A member that was not
chosen for an engine can go without moving it, and one that comes can only displace
the chosen one, so that the winner among the chosen and the newcomers is the winner
among all. Only engines of lost members are ranked anew.
"""

from notcharch.placement.interface import LiveMember, MembershipView
from notcharch.placement.rendezvous import winner
from notcharch.values.identifiers import DaemonName, EngineName


class Assignment:
    """Stewards of engines by rendezvous hashing."""

    def __init__(self, view: MembershipView) -> None:
        """Follow the changes of `view`."""
        self._view = view
        self._chosen: dict[EngineName, DaemonName] = {}
        self._staying: dict[DaemonName, LiveMember] = {}
        self._leaving: list[LiveMember] = []
        self._read()
        view.on_change(self._follow)

    def steward_of(self, engine: EngineName) -> DaemonName | None:
        """Give the daemon of an engine; None when no daemon is known."""
        chosen = self._chosen.get(engine)
        if chosen is not None:
            return chosen
        candidates = list(self._staying.values()) or self._leaving
        chosen = winner(_key(engine), candidates)
        if chosen is not None:
            self._chosen[engine] = chosen
        return chosen

    def _read(self) -> None:
        members = self._view.live_members()
        staying = (member for member in members if not member.leaving)
        self._staying = {member.member.daemon: member for member in staying}
        self._leaving = [member for member in members if member.leaving]

    def _follow(self) -> None:
        """Keep each choice that the change cannot move; adjust or drop the others."""
        before = self._staying
        self._read()
        if not before or not self._staying:
            self._chosen.clear()  # leaving members are among the chosen
            return
        come = [self._staying[name] for name in self._staying.keys() - before.keys()]
        for engine, chosen in tuple(self._chosen.items()):
            holder = self._staying.get(chosen)
            best = None if holder is None else winner(_key(engine), [holder, *come])
            if best is None:
                del self._chosen[engine]
            else:
                self._chosen[engine] = best


def _key(engine: EngineName) -> str:
    return f"engine/{engine}"
