"""Logs which questions about one call no owner has decided."""

from notcharch.accounts.metrics import UNANSWERED
from notcharch.accounts.owner_requests import OwnerRequests
from notcharch.calls.interface import OpaqueCall
from notcharch.events.accounts import OwnerUnanswered
from notcharch.events.event import emit


class UnansweredLog:
    """Logs each operation of a call once."""

    def __init__(self, owners: OwnerRequests, call: OpaqueCall, partition: int) -> None:
        """Log nothing yet."""
        self._owners = owners
        self._call = call
        self._partition = partition
        self._operations: set[str] = set()

    def unanswered(self, operation: str) -> None:
        """Log that no owner has decided an operation yet."""
        if operation in self._operations:
            return
        self._operations.add(operation)
        UNANSWERED.inc()
        directory = self._owners.directory
        owner = directory.owner(self._partition)
        now = self._owners.clock.seconds()
        emit(
            OwnerUnanswered(
                request=self._call.id,
                program=self._call.program,
                partition=self._partition,
                owner=owner.member_id() if owner is not None else "",
                view_age_seconds=round(directory.age_seconds, 3),
                waited_seconds=round(now - self._call.arrived, 3),
                question=operation,
            )
        )
