"""Requests the release of ended programs' engine memory until it is confirmed."""

from collections.abc import Callable

from result import Result

from notcharch.errors import Problem
from notcharch.errors.problem import ProblemError
from notcharch.events.event import emit
from notcharch.events.programs import ReleaseDelayed
from notcharch.partitions.interface import PartitionHost
from notcharch.placement.interface import EngineDirectory, Router
from notcharch.placement.partitions import partition_of_program
from notcharch.programs.background import run_in_background
from notcharch.programs.commands import ConfirmReleases, ReleaseDuty
from notcharch.programs.led_programs import LedPrograms
from notcharch.programs.release_plan import ReleasePlan
from notcharch.values.identifiers import Epoch, PartitionNumber
from notcharch.wire.messages.base import Message
from notcharch.wire.messages.engines import PrefixReleased, ReleasePrefix

RELEASE_TIMEOUT_SECONDS = 5.0
TRIES_PER_REPORT = 5
"""Number of tries between reports of a delayed release."""


class ReleaseService:
    """Carries out the release duties of the led partitions through the stewards."""

    def __init__(
        self,
        led: LedPrograms,
        partitions: PartitionHost,
        router: Router,
        directory: EngineDirectory,
        now: Callable[[], float],
    ) -> None:
        """Start with nothing in flight."""
        self._led = led
        self._partitions = partitions
        self._router = router
        self._directory = directory
        self._now = now
        self._plan = ReleasePlan()
        self._confirmed: dict[PartitionNumber, set[ReleaseDuty]] = {}
        self._committing: dict[PartitionNumber, set[ReleaseDuty]] = {}

    def step(self) -> None:
        """Request due releases, and commit those confirmed since the last step."""
        pending: list[ReleaseDuty] = []
        for partition, state in self._led.led_states():
            done = self._confirmed_duties(partition)
            pending.extend(duty for duty in state.duties() if duty not in done)
        self._plan.retain(pending)
        self._drop_removed_engines(pending)
        for duty in self._plan.due(pending, self._now()):
            self._request_release(duty)
        self._commit_confirmed()

    def _confirmed_duties(self, partition: PartitionNumber) -> set[ReleaseDuty]:
        confirmed = self._confirmed.get(partition, set())
        return confirmed | self._committing.get(partition, set())

    def _drop_removed_engines(self, pending: list[ReleaseDuty]) -> None:
        if not self._directory.all_engines():
            # The directory was not read yet, so no engine is known to be removed.
            return
        for duty in self._plan.duties_of_removed_engines(
            pending, self._is_known, self._now()
        ):
            self._note_confirmed(duty)

    def _is_known(self, duty: ReleaseDuty) -> bool:
        return self._directory.engine(duty.engine) is not None

    def _request_release(self, duty: ReleaseDuty) -> None:
        epoch = self._epoch_of(duty)
        if epoch is None:
            self._plan.record_reply(duty, confirmed=False, now=self._now())
            return
        message = ReleasePrefix(duty.engine, duty.program, epoch)
        reply = self._router.to_steward(duty.engine, message, RELEASE_TIMEOUT_SECONDS)
        reply.addCallback(self._on_reply, duty)

    def _epoch_of(self, duty: ReleaseDuty) -> Epoch | None:
        partition = partition_of_program(duty.program)
        return None if partition is None else self._partitions.leader_epoch(partition)

    def _on_reply(self, reply: Result[Message, Problem], duty: ReleaseDuty) -> None:
        confirmed = reply.is_ok() and isinstance(reply.unwrap(), PrefixReleased)
        tries = self._plan.record_reply(duty, confirmed=confirmed, now=self._now())
        if confirmed:
            self._note_confirmed(duty)
        elif tries % TRIES_PER_REPORT == 0:
            reason = reply.unwrap_err().message if reply.is_err() else "no release"
            emit(ReleaseDelayed(duty.program, duty.engine, tries, reason))

    def _note_confirmed(self, duty: ReleaseDuty) -> None:
        partition = partition_of_program(duty.program)
        if partition is not None:
            self._confirmed.setdefault(partition, set()).add(duty)

    def _commit_confirmed(self) -> None:
        for partition in tuple(self._confirmed):
            if partition not in self._committing:
                self._committing[partition] = self._confirmed.pop(partition)
                run_in_background(self._commit(partition))

    async def _commit(self, partition: PartitionNumber) -> None:
        duties = tuple(sorted(self._committing[partition]))
        try:
            await self._led.propose_to(partition, ConfirmReleases(self._now(), duties))
        except ProblemError:
            # Still pending in the replicated state, so it is requested again.
            pass
        finally:
            del self._committing[partition]
