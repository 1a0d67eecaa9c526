"""Which requests an engine knows: streams that can be read, ids and epochs seen."""

from collections import deque

from emulator.engine.refusals import EngineRefusal, RefusalCode
from emulator.engine.runs import EngineRun
from notcharch.values.identifiers import Epoch, ProgramId, RequestId


class RunRegistry:
    """Runs by request id; ended ones are kept `resume_seconds`, their ids for good."""

    def __init__(self, resume_seconds: float) -> None:
        """Begin empty."""
        self._resume_seconds = resume_seconds
        self._runs: dict[RequestId, EngineRun] = {}
        self._used_ids: set[RequestId] = set()
        self._ended: deque[tuple[EngineRun, float]] = deque()

    def knows(self, request_id: RequestId) -> bool:
        """Tell whether an id was ever accepted."""
        return request_id in self._used_ids

    def add(self, run: EngineRun) -> None:
        """Keep a new run."""
        self._runs[run.request.request_id] = run
        self._used_ids.add(run.request.request_id)

    def find(self, request_id: RequestId, now: float) -> EngineRun | None:
        """Give a run whose stream can still be read."""
        self._drop_old(now)
        return self._runs.get(request_id)

    def ended(self, run: EngineRun, now: float) -> None:
        """Keep an ended run for those who resume it."""
        self._ended.append((run, now))
        self._drop_old(now)

    def all(self) -> tuple[EngineRun, ...]:
        """Give the runs whose streams can be read."""
        return tuple(self._runs.values())

    def clear(self) -> None:
        """Clear all entries."""
        self._runs.clear()
        self._used_ids.clear()
        self._ended.clear()

    def _drop_old(self, now: float) -> None:
        while self._ended:
            run, ended_at = self._ended[0]
            if ended_at + self._resume_seconds > now:
                return
            self._ended.popleft()
            self._runs.pop(run.request.request_id, None)


class ProgramEpochs:
    """The highest epoch seen of each program."""

    def __init__(self) -> None:
        """Begin without any."""
        self._epochs: dict[ProgramId, Epoch] = {}

    def check(self, program: ProgramId, epoch: Epoch) -> EngineRefusal | None:
        """Refuse an epoch below one seen, or note it."""
        seen = self._epochs.get(program, epoch)
        if epoch < seen:
            message = f"epoch {epoch} is below {seen}"
            return EngineRefusal(RefusalCode.STALE_EPOCH, message)
        self._epochs[program] = epoch
        return None

    def clear(self) -> None:
        """Clear all entries."""
        self._epochs.clear()
