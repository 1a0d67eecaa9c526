"""Causes told from log lines, and what is said when a line is missing."""

import msgspec
import pytest

from notcharch.cli.main import main
from notcharch.events.accounts import (
    BudgetRefused,
    OwnerUnanswered,
    PartitionGivenUp,
    TurnDenied,
)
from notcharch.events.calls import (
    AnswerOverdue,
    CallBrokenOff,
    CallerLeft,
    CallerNotIdentified,
    CallRefused,
    CallSentAgain,
    CallServed,
    EngineChosen,
    RequestMalformed,
    RequestNotRead,
    RequestWithoutRoute,
    StreamBegan,
    StreamTakenUp,
)
from notcharch.events.engine_load import LoadTrackerSilent
from notcharch.events.http import SlowReaderCut
from notcharch.events.outages import RefusedInOutage, StoreOutageKnown
from notcharch.events.process import (
    CallCutByStop,
    CallRefusedForStop,
    DependencyLost,
    LinesDropped,
    ProcessPaused,
    ZonesDrained,
)
from notcharch.events.quarantine import AttemptNotSent, EngineEnded
from notcharch.events.tenants import KeysUnsure, LimitReached
from notcharch.explain.explanation import explain, owner_machine
from notcharch.explain.log_lines import read_lines
from notcharch.values.framing import Framing


def line(at: float, machine: str, event) -> str:
    fields = msgspec.to_builtins(event) | {
        "event_number": event.number,
        "message_type": f"notcharch:{type(event).__name__}",
        "timestamp": 1000.0 + at,
    }
    return f"  {at:.4f} {machine} {msgspec.json.encode(fields).decode()}\n"


def refused(phase="admission", status=503, reason="not known", tried=0):
    return CallRefused(
        "r", "p", "s", "route", phase, status, reason, 0.2, tried, 0, 3, 1.35, 1.65
    )


def cause(*lines: str):
    return explain("r", list(read_lines(lines)))


LIMIT_REACHED = LimitReached(
    "r", "t", "p", "route", True, 0.4, 2.0, 3.0, 1.5, 5, "alone"
)
UNANSWERED = OwnerUnanswered("r", "p", 5, "b|1.2.3.4:5", 0.1, 0.5, "admission")

CASES = [
    (
        [
            line(0.5, "b", PartitionGivenUp(5, 7, "fenced")),
            line(1.0, "a", UNANSWERED),
            line(2.0, "a", refused()),
        ],
        "the owner of partition 5 (b) did not decide within 1.35 s; "
        "before it: b gave up partition 5 (fenced)",
    ),
    (
        [
            line(1.0, "b", BudgetRefused("r", "p", 5, 7, 1725, 575, 1150, 575)),
            line(1.1, "a", refused(status=402)),
        ],
        "the budget of 1725 tokens: 575 used, 1150 under way, and this call may "
        "need 575",
    ),
    (
        [
            line(1.0, "a", TurnDenied("r", "p", "t9")),
            line(1.1, "a", refused(status=404)),
        ],
        "no partition keeps the turn t9",
    ),
    (
        [
            line(1.0, "a", CallSentAgain("r", "p", "i-1", "not run: 503", 0, 0, 2.0)),
            line(1.1, "a", refused("at engine", 503, "no engine can take it", 1)),
        ],
        "no engine can take it; 1 engines tried of 3 known (i-1: not run: 503)",
    ),
    (
        [
            line(0.6, "a", AnswerOverdue("r", "p", "x", "i-2", 0.6, 0.45, True)),
            line(0.7, "a", refused("at engine", 502, "it may have run", 1)),
        ],
        "it may have run; 1 engines tried of 3 known (i-2: no first answer in 0.45 s, "
        "longer than usual)",
    ),
    (
        [
            line(0.1, "a", DependencyLost("keyed.op", "no answer")),
            line(
                1.1,
                "a",
                CallBrokenOff(
                    "r", "p", "s", "settling", "not durable", 1, 1, 4, 3.0, 0.0
                ),
            ),
        ],
        "cut after 4 events while settling: not durable; before it: a could not "
        "reach keyed.op (no answer)",
    ),
    (
        [
            line(0.2, "a", LoadTrackerSilent("b", "model", "no reply in time")),
            line(1.0, "a", CallerLeft("r", "p", "at engine", "i-1", 0, 3.0)),
        ],
        "the caller left after 3.0 s while at engine; before it: a got no engine loads "
        "from b (no reply in time)",
    ),
    (
        [
            line(
                1.0,
                "a",
                EngineEnded(
                    "r", "p", "1f0e", "i-1", False, 0.02, ["i-1 from a"], 3, 0.004
                ),
            ),
            line(1.1, "a", refused("at engine", 502, "it may have run", 1)),
        ],
        "it may have run; 1 engines tried of 3 known; engines that ended under this "
        "request, 1f0e in all its tries: i-1 from a",
    ),
    (
        [
            line(
                1.0,
                "a",
                AttemptNotSent("r", "p", "1f0e", "engines ended", ["i-1 from b"], 99.0),
            ),
            line(1.1, "a", refused("at engine", 503, "engines ended")),
        ],
        "engines ended; 0 engines tried of 3 known; engines that ended under this "
        "request, 1f0e in all its tries: i-1 from b",
    ),
    (
        [line(1.0, "a", CallerLeft("r", "p", "at engine", "i-1", 0, 3.0))],
        "the caller left after 3.0 s while at engine",
    ),
    (
        [line(1.0, "a", RequestWithoutRoute("r", "h", "/x/", 7))],
        "table 7 has no route for h/x/",
    ),
    (
        [line(1.0, "a", CallServed("r", "p", "s", "x", "i-1", 200, 1, 3, 0.5, 0.01))],
        "served by i-1 with 200 after 0.5 s, 0.01 s of them before its admission",
    ),
    (
        [
            line(0.5, "a", DependencyLost("keyed.op", "unknown")),
            line(1.0, "a", RequestWithoutRoute("r", "h", "/p/x", -1)),
        ],
        "the daemon knew no table yet; before it: a could not reach keyed.op (unknown)",
    ),
    (
        [line(1, "a", RequestNotRead("r", "write", "no memory", 4_000_000, 2.0, 2.1))],
        "not run: no memory for a body of 4000000 bytes, 2.1 s after its head, "
        "of which it waited 2.0 s for memory",
    ),
    (
        [line(1.0, "a", RequestMalformed("r", "h", "/p/x"))],
        "a header can't be read, for h/p/x",
    ),
    (
        [
            line(1.0, "a", CallerLeft("r", "p", "admission", "", 0, 0.002)),
            line(1.4, "a", ProcessPaused("a", 0.9)),
        ],
        "the caller left after 0.002 s while admission; "
        "before it: a stood still for 0.9 s",
    ),
    (
        [
            line(
                0.5,
                "a",
                KeysUnsure(is_sure=False, table_version=7, proof_age_seconds=5.2),
            ),
            line(1.0, "a", CallerNotIdentified("r", "route", "no", 7, 5.3)),
        ],
        "no; judged by table 7, certainly the newest 5.3 s before; "
        "before it: a could not judge keys",
    ),
    (
        [line(1.0, "a", CallerNotIdentified("r", "route", "unknown key", 7, None))],
        "unknown key; judged by table 7",
    ),
    (
        [line(1.0, "b", LIMIT_REACHED), line(1.1, "a", refused(status=429))],
        "tenant t has 0.4 calls left of its limit of 2.0 a second and 3.0 at once; "
        "its program would have begun and is not expected to fit",
    ),
    (
        [
            line(
                1.0,
                "b",
                msgspec.structs.replace(
                    LIMIT_REACHED,
                    begins_program=False,
                    cause="loops",
                    reserved_calls=12.5,
                    program_calls=31,
                ),
            ),
            line(1.1, "a", refused(status=429)),
        ],
        "tenant t has 0.4 calls left of its limit of 2.0 a second and 3.0 at once; "
        "its program has made 31 calls, far more than its kind, and has no room "
        "beside 12.5 reserved calls",
    ),
    (
        [line(1.1, "a", refused(status=429))],
        "over its tenant's limit, said the owner that counts it; its line is missing",
    ),
]


@pytest.mark.parametrize(("lines", "expected"), CASES)
def test_a_cause_is_told_from_lines(lines, expected):
    explanation = cause(*lines)
    assert explanation.is_explained
    assert explanation.cause == expected


@pytest.mark.parametrize(
    ("lines", "part"),
    [
        ([], "no daemon read it whole"),
        ([line(1.0, "a", LinesDropped(3, 0))], "lines were left out"),
        ([line(1.0, "a", UNANSWERED)], "its end was not logged"),
    ],
)
def test_what_is_missing_is_said(lines, part):
    explanation = cause(*lines)
    assert not explanation.is_explained
    assert part in explanation.cause


def test_other_text_is_passed_over():
    own = line(1.0, "a", RequestWithoutRoute("r", "h", "/x/", 7))
    found = list(read_lines(["hello", "{not json}", '{"a": 1}', "", own]))
    assert [(entry.machine, entry.number) for entry in found] == [("a", 2205)]


def test_the_command_prints_causes_and_tells_what_is_not_explained(tmp_path, capsys):
    log = tmp_path / "day.log"
    log.write_text("".join(CASES[0][0]))
    assert main(["explain", "r", str(log)]) == 0
    assert "OwnerUnanswered" in capsys.readouterr().out
    assert main(["explain", "--brief", "r,unknown", str(log)]) == 1
    printed = capsys.readouterr().out.splitlines()
    assert [text.split(":")[1].strip() for text in printed] == [
        "explained",
        "NOT EXPLAINED",
    ]
    assert main(["explain", "r", str(tmp_path / "missing")]) == 2


DRAINED = "the zones of its engines are drained"


def drains(*in_force: str) -> ZonesDrained:
    return ZonesDrained([], [], list(in_force), 7, False)


def test_a_call_without_an_engine_names_the_drained_zones():
    told = cause(
        line(-50.0, "m1", drains("z-1")),
        line(-40.0, "m1", drains("z-1", "z-2")),
        line(-30.0, "m2", drains()),
        line(1.0, "m1", refused("at engine", reason=DRAINED)),
    )
    assert told.cause == (
        f"{DRAINED}; 0 engines tried of 3 known; before it: "
        "m1 knew the zones z-1, z-2 to be drained"
    )


def test_drains_that_were_taken_back_are_not_named():
    told = cause(
        line(-50.0, "m1", drains("z-1")),
        line(-40.0, "m1", drains()),
        line(1.0, "m1", refused("at engine", reason="its engines are cold")),
        line(2.0, "m1", drains("z-9")),
    )
    assert told.cause == "its engines are cold; 0 engines tried of 3 known"


def test_a_served_call_tells_the_costs_by_which_its_engine_was_chosen():
    served = CallServed("r", "p", "s", "x", "i-2", 200, 2, 9, 0.5, 0.01)
    first = EngineChosen("r", "p", "i-1", "cached", 5, 2, 6, 0.1, 0.0, 0.0, 0.0, 0.1)
    second = EngineChosen(
        "r", "p", "i-2", "overflow", 5, 7, 6, 0.15, 0.05, 0.02, 0.003, 0.2
    )
    told = cause(line(1.0, "a", first), line(1.1, "a", second), line(1.5, "a", served))
    assert told.cause.endswith(
        "the engine was chosen as overflow with 7 calls at 6 slots: 0.15 s for its run, "
        "0.05 s for a slot, 0.02 s to read the prompt, 0.003 s for the distance "
        "expected, and 0.2 s in all at the best engine"
    )


def test_a_caller_that_was_cut_for_reading_slowly_has_not_left_by_itself():
    told = cause(
        line(0.4, "a", SlowReaderCut("r", 70000)),
        line(0.5, "a", CallerLeft("r", "p", "at engine", "e", 4, 0.5)),
    )
    assert told.is_explained
    assert "had not read 70000 bytes" in told.cause


@pytest.mark.parametrize(
    ("is_owners_decision", "why"),
    [(True, "its admission needs an append"), (False, "no owner decided")],
)
def test_a_refusal_in_an_outage_names_it_and_the_retry(is_owners_decision, why):
    told = cause(
        line(0.4, "a", RefusedInOutage("r", "p", is_owners_decision, 2.5, 0.9)),
        line(0.4, "a", refused()),
    )
    assert told.is_explained
    assert told.cause == (
        f"the store had been down for 2.5 s and {why}; the caller was told to retry "
        "after 0.9 s"
    )


def test_an_outage_before_a_request_is_told_with_its_cause():
    told = cause(
        line(0.2, "a", StoreOutageKnown("account-owners", 0.7)),
        line(1.4, "a", refused(phase="at engine")),
    )
    assert "a knew the store to be down" in told.cause


def test_the_versions_of_a_stream_that_was_sent_on_are_told():
    told = cause(
        line(
            0.1,
            "d1",
            StreamTakenUp("r", "p", "r0", "4", "s", "v1", "record of a peer", 0.01),
        ),
        line(0.2, "d1", StreamBegan("r", "p", "s", "e1", "v1", "r0")),
        line(0.3, "d1", CallSentAgain("r", "p", "e1", "reset", 1, 6, 2.0, "v1")),
        line(
            0.4,
            "d1",
            CallServed("r", "p", "s", "route", "e2", 200, 2, 9, 0.4, 0.1, "v2"),
        ),
    )
    assert "resumed the stream that began as r0 after event 4" in told.cause
    assert "begun at version v1 (record of a peer)" in told.cause
    assert "first event came from version v1 (e1)" in told.cause
    assert "sent on after 6 events from version v1 (e1: reset)" in told.cause
    assert told.cause.endswith("it ended at version v2")


def served(framing, body_bytes, unfinished_bytes):
    return CallServed(
        "r",
        "p",
        "s",
        "x",
        "i-1",
        200,
        1,
        3,
        0.5,
        0.01,
        framing=framing.value,
        body_bytes=body_bytes,
        unfinished_bytes=unfinished_bytes,
    )


@pytest.mark.parametrize(
    ("event", "end"),
    [
        (served(Framing.CHUNKS, 90, 0), "before its admission"),
        (
            served(Framing.CHUNKS, 90, 7),
            "its answer ended as told by its chunks after 90 bytes, "
            "7 bytes after its last whole event",
        ),
        (
            served(Framing.CONNECTION, 90, 0),
            "its answer ended with its connection after 90 bytes",
        ),
        (
            served(Framing.CONNECTION, 90, 7),
            "its answer ended with its connection after 90 bytes, "
            "7 bytes after its last whole event",
        ),
    ],
)
def test_how_an_answer_ended_that_may_not_be_whole_is_told(event, end):
    assert cause(line(0.4, "a", event)).cause.endswith(end)


def test_where_the_answer_of_an_engine_that_did_not_serve_ended_is_told():
    again = CallSentAgain(
        "r",
        "p",
        "i-1",
        "closed before the end of the answer",
        1,
        3,
        2.0,
        framing="chunks",
        body_bytes=50,
        unfinished_bytes=9,
    )
    told = cause(
        line(0.3, "a", again), line(0.4, "a", refused("at engine", 502, "it may", 1))
    )
    assert (
        "i-1: closed before the end of the answer; its answer ended as told by its "
        "chunks after 50 bytes, 9 bytes after its last whole event" in told.cause
    )


def test_a_stream_of_unknown_version_is_told_with_the_attempt_that_began_it():
    reason = "the version that began the stream is not known"
    told = cause(
        line(0.1, "d1", StreamTakenUp("r", "p", "r0", "4", "", "", "unknown", 0.2)),
        line(0.2, "d1", refused(reason=reason)),
    )
    assert told.cause.startswith(reason)
    assert "began as r0 after event 4, begun at version unknown" in told.cause


REFUSED_FOR_STOP = CallRefusedForStop(
    "r", "p", "route", "admission", "the route's calls", 7.05, 5.4, False, 0
)


@pytest.mark.parametrize("is_ended", [False, True])
def test_a_refusal_by_a_planned_stop_is_named_with_what_was_expected(is_ended):
    """A request that was still being read has no other line."""
    ends = [line(2.0, "m", refused(reason="the daemon is stopping"))]
    told = cause(line(2.0, "m", REFUSED_FOR_STOP), *(ends if is_ended else []))
    assert told.is_explained
    assert "planned stop" in told.cause
    assert "7.05 s expected by the route's calls, 5.4 s left" in told.cause
    assert "it has not run" in told.cause


def test_a_call_that_may_have_run_and_is_not_sent_again_is_not_said_not_to_have_run():
    event = msgspec.structs.replace(REFUSED_FOR_STOP, runs=1)
    told = cause(line(2.0, "m", event), line(2.0, "m", refused(status=502)))
    assert "has not run" not in told.cause


def test_a_call_that_a_planned_stop_cut_is_explained_by_it():
    event = CallCutByStop("r", "p", "route", 7.4, True)
    told = cause(line(7.5, "m", event), line(7.5, "m", refused(status=502)))
    assert "cut by a planned stop: it had run for 7.4 s" in told.cause


@pytest.mark.parametrize(
    ("member", "machine"),
    [
        ("front-hall-d-2|10.0.0.1:7380", "front-hall-d-2"),
        ("front-hall-d-2:7381|10.0.0.1:7381", "front-hall-d-2"),
        ("front-hall-d-2", "front-hall-d-2"),
        ("", ""),
    ],
)
def test_the_machine_of_an_owner_at_a_later_port_is_found(member, machine):
    """Guards against an explanation without the lines of the owner's machine."""
    assert owner_machine(member) == machine
