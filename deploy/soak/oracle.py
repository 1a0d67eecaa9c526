"""What callers and engines saw, and which promises that breaks."""

from collections import defaultdict

from deploy.soak.deadly import DeadlyEnds, Try, deadly_kind
from deploy.soak.observations import (
    OK,
    Asked,
    Run,
    Violation,
    answer_of,
    event_of,
    version_of,
)
from deploy.soak.settings import (
    BUDGET_TOKENS,
    CALL_SECONDS,
    DRAIN_SECONDS,
    HOME_PATH,
    LONG_CALL_SECONDS,
    LONG_PATH,
    LONG_STREAM_PATH,
    MOST_TOKENS,
    TOKENS_PER_EVENT,
)
from deploy.soak.tenants import (
    NEVER_HELD,
    REVOKE_SECONDS,
    WINDOW_SECONDS,
    SoakTenant,
    Tenants,
)
from deploy.soak.zones import HOME_REGION, REGION_OF, Arrival, Drains, crowds
from notcharch.calls.interface import USAGE_UNKNOWN

REFUSALS = (401, 402, 404, 408, 421, 429, 503)
"""Answers that promise that the request has not run and never will."""
CROSSING_SECONDS = 0.25
"""A request that was sent earlier than this before the close of its connection had arrived
at the daemon."""
ANSWER_SLACK_SECONDS = 1.0
"""A request without an answer for so long beyond its time is lost."""
AS_IT_SHOULD_BE = (OK, 401, 402, 429)
"""Answers that show a system at work: served, or refused for the caller's key, budget or
limit."""


def most_in_a_window(sent_and_run: list[tuple[float, float]]) -> int:
    """Give the most calls that were both sent and run within one window."""
    sent_and_run = sorted(sent_and_run)
    return max(
        sum(run - begin <= WINDOW_SECONDS for _, run in sent_and_run[number:])
        for number, (begin, _) in enumerate(sent_and_run)
    )


def _counts_in_calm(asked: Asked, at: float) -> bool:
    """Return whether a request since a time is to be served.

    One under which engines end is refused, also by the tries that follow in the calm.
    """
    is_deadly = deadly_kind(asked.expected_body) is not None
    is_over = asked.at >= at and asked.ended_at
    return bool(is_over) and not asked.lost_by_caller and not is_deadly


def is_doubted(asked: Asked) -> bool:
    """Return whether a request was refused for doubt about its program's budget."""
    reason = USAGE_UNKNOWN.reason.encode()
    return asked.status == USAGE_UNKNOWN.status and reason in asked.body


def _is_overdue(asked: Asked, now: float | None) -> bool:
    """Return whether the time of a request is over."""
    is_long = asked.path.startswith((LONG_PATH, LONG_STREAM_PATH))
    seconds = LONG_CALL_SECONDS if is_long else CALL_SECONDS
    return now is not None and now - asked.sent_at > seconds + ANSWER_SLACK_SECONDS


class Oracle:
    """Collects what was seen; says at the end what was wrong."""

    def __init__(
        self,
        tenants: Tenants | None = None,
        *,
        allowed_tokens: int = BUDGET_TOKENS + MOST_TOKENS,
    ) -> None:
        """Begin with nothing seen; `tenants` tell which keys were in force when.

        Callers of a program may get `allowed_tokens`, its budget and the most of one turn.
        """
        self._tenants = tenants
        self._allowed_tokens = allowed_tokens
        self.asked: dict[str, Asked] = {}
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.drains = Drains()
        self.left: dict[str, float] = {}
        """When the entry of an engine first said that it leaves, by its id."""
        self.deadly = DeadlyEnds()
        self.lengths: dict[str, int] = {}
        """How many events the engines give of a stream."""
        self.closed_early: dict[str, set[int]] = defaultdict(set)
        """By request, after how many events or bytes a living engine closed its answer.

        An unframed answer ends with its connection, so a caller may get it as whole.
        """

    def violations(self) -> list[Violation]:
        """Compare everything that was seen with every promise."""
        found: list[Violation] = []
        for request, runs in self.runs.items():
            found += self._judge_runs(request, runs)
        for asked in self.asked.values():
            found += self._judge_answer(asked)
        found += self._judge_budgets() + self._judge_limits()
        found += self._judge_versions() + self._judge_ends()
        return found + self._judge_cold_engines()

    def _judge_ends(self) -> list[Violation]:
        tries = [
            Try(
                asked.request_key,
                asked.daemon,
                asked.at,
                asked.ended_at,
                asked.lost_by_caller,
            )
            for asked in self.asked.values()
        ]
        return [
            Violation("BUDGET", str(ends.key), f"{ends.engines} over {ends.bound}")
            for ends in self.deadly.judge(tries)
        ]

    def _judge_runs(self, request: str, runs: list[Run]) -> list[Violation]:
        asked = self.asked.get(request)
        if asked is None:
            return [Violation("UNASKED", request, "no caller sent it")]
        found = []
        if any(
            (run.path, run.body) != (asked.path, asked.expected_body) for run in runs
        ):
            found.append(Violation("UNASKED", request, "path or body was changed"))
        if len(runs) > 1 and not asked.may_repeat:
            found.append(Violation("TWICE", request, f"{len(runs)} runs"))
        if any(run.tenant != asked.tenant for run in runs):
            found.append(Violation("UNASKED", request, "run for another tenant"))
        if asked.path.startswith(HOME_PATH):
            found += [
                Violation("HOME", request, f"run in {run.zone}")
                for run in runs
                if REGION_OF.get(run.zone) != HOME_REGION
            ]
        if any(run.has_key for run in runs):
            found.append(Violation("UNASKED", request, "the key was passed on"))
        found += self._judge_key(asked)
        if asked.status in REFUSALS:
            found.append(Violation("REFUSED", request, f"{asked.status}, yet it ran"))
        return found

    def _judge_key(self, asked: Asked) -> list[Violation]:
        """Check the key of a request that ran."""
        if asked.key == NEVER_HELD:
            return [Violation("ROUTE", asked.id, "nobody ever held its key")]
        tenant = self._tenant(asked.tenant)
        if tenant is None or asked.key not in tenant.removed:
            return []
        late = asked.sent_at - tenant.removed[asked.key]
        if late <= REVOKE_SECONDS:
            return []
        return [Violation("CONFIG", asked.id, f"its key was gone for {late:.2f} s")]

    def _tenant(self, name: str) -> SoakTenant | None:
        return None if self._tenants is None else self._tenants.named(name)

    def _judge_limits(self) -> list[Violation]:
        """Count the runs of each limited tenant within each window."""
        times: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for request, runs in self.runs.items():
            asked = self.asked.get(request)
            if asked is not None:
                times[asked.tenant] += [(asked.sent_at, run.at) for run in runs]
        found = []
        for name, sent_and_run in times.items():
            tenant = self._tenant(name)
            if tenant is not None and tenant.rate_per_second:
                most = most_in_a_window(sent_and_run)
                if most > tenant.most_in_window:
                    found.append(Violation("QUOTA", name, f"{most} calls in a window"))
        return found

    def _judge_cold_engines(self) -> list[Violation]:
        arrivals = [
            Arrival(run.engine, run.at)
            for runs in self.runs.values()
            for run in runs
            if run.is_cold
        ]
        return [
            Violation("FAILBACK", engine, f"{count} calls in a second")
            for engine, count in crowds(arrivals)
        ]

    def at_leaving_engines(self) -> list[Violation]:
        """Give the runs at engines that had said for too long that they leave."""
        return [
            Violation("DRAIN", request, f"run at {run.engine}, at {run.at:.2f}")
            for request, runs in self.runs.items()
            for run in runs
            if run.at > self.left.get(run.engine, run.at) + DRAIN_SECONDS
        ]

    def in_drained_zones(self) -> list[Violation]:
        """Give the runs in zones that had been drained for too long."""
        return [
            Violation("EVAC", request, f"run in {run.zone} at {run.at:.2f}")
            for request, runs in self.runs.items()
            for run in runs
            if self.drains.forbid(run.zone, run.at)
        ]

    def _judge_answer(self, asked: Asked) -> list[Violation]:
        found = []
        if asked.answered_id not in ("", asked.id):
            found.append(Violation("MIXED", asked.id, f"answer to {asked.answered_id}"))
        if asked.is_stream:
            found += self._judge_stream(asked)
        elif asked.is_whole and asked.status == OK:
            found += self._judge_body(asked)
        if asked.previous and asked.status == 404:
            found.append(Violation("LOST", asked.id, f"{asked.previous} is unknown"))
        return found

    def _judge_body(self, asked: Asked) -> list[Violation]:
        expected = answer_of(asked.id, asked.expected_body)
        made = {expected[:size] for size in self.closed_early.get(asked.id, ())}
        if asked.body == expected or asked.body in made:
            return []
        return [Violation("MIXED", asked.id, "another body")]

    def _judge_stream(self, asked: Asked) -> list[Violation]:
        numbers = range(
            asked.after_event + 1, asked.after_event + 1 + len(asked.events)
        )
        expected = [
            event_of(asked.id, number, version_of(event))
            for number, event in zip(numbers, asked.events, strict=True)
        ]
        if asked.events != expected:
            return [Violation("ORDER", asked.id, f"events {asked.events[:3]}")]
        is_success = asked.is_whole and asked.status == OK
        if is_success and asked.ends_inside_event:
            return [Violation("ORDER", asked.id, "whole inside an event")]
        made = {self.lengths.get(asked.stream), *self.closed_early.get(asked.id, ())}
        if is_success and numbers.stop not in made:
            return [Violation("ORDER", asked.id, f"whole after {numbers.stop}")]
        return []

    def _judge_versions(self) -> list[Violation]:
        """Check that each stream has events of one software version, over all attempts."""
        versions: dict[str, set[str]] = defaultdict(set)
        for asked in self.asked.values():
            if asked.is_stream:
                versions[asked.stream] |= {version_of(event) for event in asked.events}
        return [
            Violation("ORDER", stream, f"events of {sorted(found)}")
            for stream, found in versions.items()
            if len(found) > 1
        ]

    def resumed(self) -> tuple[int, int]:
        """Give how many streams went on of those that were taken up, and how many were."""
        resumed = [a for a in self.asked.values() if a.first_attempt and a.ended_at]
        return sum(bool(a.events) for a in resumed), len(resumed)

    def _judge_budgets(self) -> list[Violation]:
        spent: dict[str, int] = defaultdict(int)
        for asked in self.asked.values():
            spent[asked.program] += TOKENS_PER_EVENT * len(asked.events)
        allowed = self._allowed_tokens
        return [
            Violation("BUDGET", program, f"{tokens} tokens, {allowed} allowed")
            for program, tokens in spent.items()
            if program and tokens > allowed
        ]

    def cut(self, now: float | None = None) -> list[Violation]:
        """Give the requests that a daemon took and did not answer whole.

        Those without an end at `now` count when their time is over.
        """
        return [
            Violation("LOST", asked.id, self._describe_cut(asked))
            for asked in self.asked.values()
            if asked.is_connected and not asked.is_whole
            if asked.ended_at or _is_overdue(asked, now)
            if not asked.lost_by_caller and not self._crossed_a_close(asked)
        ]

    def _describe_cut(self, asked: Asked) -> str:
        kind = "kept" if asked.is_on_kept_connection else "new"
        seconds = asked.ended_at - asked.sent_at if asked.ended_at else 0.0
        sending = asked.sent_at - asked.begun_at if asked.begun_at else 0.0
        told = ", told of the close" if asked.close_was_told else ""
        return (
            f"{'cut' if asked.ended_at else 'never answered'} at {asked.daemon}, {kind} connection, status {asked.status}, "
            f"{len(asked.events)} events, {len(self.runs.get(asked.id, ()))} runs, "
            f"{asked.path}, {asked.manner}, {seconds:.2f} s after it was sent "
            f"at {asked.sent_at:.2f} in {sending:.2f} s{told}"
        )

    def _crossed_a_close(self, asked: Asked) -> bool:
        """Return whether a request met the close of a connection, and ran nowhere.

        That is allowed: nobody read it. Its caller knew of the close by an answer before
        it, or the close of a connection at rest was on its way.
        """
        if asked.status or not asked.ended_at:
            return False
        if asked.id in self.runs or not asked.is_on_kept_connection:
            return False
        seconds = asked.ended_at - (asked.begun_at or asked.sent_at)
        return asked.close_was_told or seconds <= CROSSING_SECONDS

    def unserved_since(self, at: float) -> dict[str, int]:
        """Count the other requests since a time by what came of them."""
        counts: dict[str, int] = defaultdict(int)
        for a in self.asked.values():
            if not _counts_in_calm(a, at):
                continue
            if a.is_whole and a.status in AS_IT_SHOULD_BE:
                continue
            reached = f"status {a.status}" if a.is_connected else "not connected"
            whole = "" if a.is_whole or not a.is_connected else ", cut"
            counts[f"{a.path} at {a.daemon}: {reached}{whole}"] += 1
        return dict(counts)

    def doubted_since(self, at: float) -> int:
        """Count the requests since a time that were refused for doubt about a budget.

        They carry the time to come back; an owner of their program was lost.
        """
        return sum(
            _counts_in_calm(a, at) and a.is_whole and is_doubted(a)
            for a in self.asked.values()
        )

    def served_since(self, at: float) -> tuple[int, int]:
        """Give how many requests were answered by engines, and asked, since a time."""
        asked = [a for a in self.asked.values() if _counts_in_calm(a, at)]
        served = [a for a in asked if a.is_whole and a.status in AS_IT_SHOULD_BE]
        return len(served), len(asked)
