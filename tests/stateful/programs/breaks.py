"""Deliberate bugs in the programs' state that the oracle must detect.

Each one is a list of (target to patch, replacement).
"""

import msgspec

from notcharch.errors import Ran
from notcharch.programs import (
    admission,
    attempts,
    budget,
    history,
    pages,
    store,
    tree,
    turns,
)
from notcharch.programs.record import CallPhase

PACKAGE = "notcharch.programs."

original_known_call = admission.known_call
original_refusal = admission._refusal
original_dispatch = attempts.dispatch
original_finish_problem = attempts.finish_with_problem
original_close_call = attempts.close_call
original_end_tree = tree._end_tree
original_release_engines = tree.release_engines


def mark_unresolved_without_charge(self, charge):
    self.reserved -= charge.tokens


def resolve_without_usage(self, program, sequence, attempt, used_tokens):
    return original_resolve(self, program, sequence, attempt, 0)


original_resolve = budget.TreeBudget.resolve


def settle_keeps_the_reservation(self, tokens, usage):
    self.settled += usage.total_tokens


def admit_without_reservation(self, tokens):
    pass


def admit_early(record, command, digest):
    early = command.sequence == record.next_sequence + 1
    return None if early else original_known_call(record, command, digest)


def join_any_body(record, command, digest):
    call = record.call
    same = call is not None and command.sequence == call.sequence
    return original_known_call(record, command, call.digest if same else digest)


def supersede_dispatched(call, command):
    return call.gateway == command.gateway


def supersede_any_gateway(call, command):
    return call.phase is CallPhase.ADMITTED


def stale_limit(state, record, command, reservation):
    limits = msgspec.structs.replace(
        command.limits, budget_tokens=state.budget_of(record).limit
    )
    old = msgspec.structs.replace(command, limits=limits)
    return original_refusal(state, record, old, reservation)


def admit_when_ended(state, record, command, reservation):
    problem = original_refusal(state, record, command, reservation)
    return None if record.ended else problem


def any_attempt_is_newest(record, command):
    call = record.call
    return call if call is not None and call.sequence == command.sequence else None


def dispatch_without_intent(state, command, epoch):
    record = state.records[command.program]
    before = None if record.call is None else record.call.phase
    result = original_dispatch(state, command, epoch)
    if before is CallPhase.ADMITTED:
        record.call.phase = before
    return result


def dispatch_without_recording_engine(state, command, epoch):
    result = original_dispatch(state, command, epoch)
    state.records[command.program].engines = ()
    return result


def dispatch_an_abandoned_attempt(state, command, epoch):
    call = state.records[command.program].call
    if call is not None and call.attempt == command.attempt:
        call.phase = CallPhase.DISPATCHED if call.engines else CallPhase.ADMITTED
    return original_dispatch(state, command, epoch)


def retry_unrepeatable(state, record, call, problem, at):
    call.repeatable = True
    return original_finish_problem(state, record, call, problem, at)


def always_report_no(call, problem, never_ran):
    return msgspec.structs.replace(problem, ran=Ran.NO)


def report_last_attempt_only(call, problem, never_ran):
    ran = Ran.NO if never_ran else Ran.UNKNOWN
    return msgspec.structs.replace(problem, ran=ran)


def close_without_messages(state, record, turn, message_count):
    empty = msgspec.structs.replace(turn, messages=msgspec.Raw(turns.NO_MESSAGES))
    original_close_call(state, record, empty, message_count)


def seal_drops_a_turn(self):
    self.tail = b""
    self.tail_turn_count = self.tail_message_count = 0


def context_from_reported_usage(answer):
    return answer.usage.total_tokens


def separate_budget(self, record):
    if record.parent is None:
        return original_budget_of(self, record)
    return self.__dict__.setdefault("own", {}).setdefault(
        record.program, budget.TreeBudget(400)
    )


original_budget_of = store.ProgramStore.budget_of


def any_tenant(self, program, tenant):
    return self.records.get(program)


def confirm_any_number(self, duty):
    self.drop_duty(duty.program, duty.engine)


def release_while_dispatched(state, record):
    for engine in record.engines:
        state.add_duty(record.program, engine)
    record.engines = ()


def end_without_release(state, record):
    if not record.ended:
        original_release_engines(state, record)


def end_keeps_children(state, record, reason, at):
    children, record.children = record.children, ()
    original_end_tree(state, record, reason, at)
    record.children = children


def end_keeps_admitted_call(state, record, reason, at):
    record.ended_at = at
    original_release_engines(state, record)


def unsorted_snapshot(self):
    records = list(self.records.values())
    duties = sorted(self.all_duties())
    content = store.StoreSnapshot(1, records[::-1], duties, self.next_duty)
    return store._encoder.encode(content)


def restore_drops_duties(self, snapshot):
    original_restore(self, snapshot)
    self.duties = {}


def restore_drops_charges(self, snapshot):
    original_restore(self, snapshot)
    for record in self.records.values():
        if record.budget is not None:
            record.budget.unresolved = 0


original_restore = store.ProgramStore.restore


class AnyDigest(bytes):
    """A digest that equals every other one."""

    def __ne__(self, other):
        return False


def any_digest(plain):
    return AnyDigest()


def page_without_count(plain, first_turn, offset, digest):
    page = original_page_of(plain, first_turn, offset, digest)
    return msgspec.structs.replace(page, message_count=page.message_count - 1)


original_page_of = history.page_of


def stub_without_digest(turn):
    return pages.TurnStub(b"", turn.attempt, None, turn.problem)


LATE_CONFIRMATION = (PACKAGE + "store.ProgramStore.confirm_duty", confirm_any_number)

# Random steps seldom reach these, so they run with the steps of ReleasesMachine.
BREAKS_OF_RELEASES = {
    "memory is released while a call still fills it": [
        (PACKAGE + "tree.release_engines", release_while_dispatched)
    ],
    "an end releases nothing": [
        (PACKAGE + "tree.release_engines", end_without_release),
        (PACKAGE + "attempts.release_engines", end_without_release),
    ],
    "a dispatched engine is not recorded": [
        (PACKAGE + "attempts.dispatch", dispatch_without_recording_engine)
    ],
    "a new leader loses the duties": [
        (PACKAGE + "store.ProgramStore.restore", restore_drops_duties)
    ],
}

BREAKS = {
    "the charge of an unknown outcome is released early": [
        (PACKAGE + "budget.TreeBudget.mark_unresolved", mark_unresolved_without_charge)
    ],
    "a late usage is not charged": [
        (PACKAGE + "budget.TreeBudget.resolve", resolve_without_usage)
    ],
    "a settled reservation is not released": [
        (PACKAGE + "budget.TreeBudget.settle", settle_keeps_the_reservation)
    ],
    "an admission reserves nothing": [
        (PACKAGE + "budget.TreeBudget.reserve", admit_without_reservation)
    ],
    "the prompt's bound uses the reported tokens of the last answer": [
        (PACKAGE + "attempts.context_token_bound", context_from_reported_usage)
    ],
    "a child has a budget of its own": [
        (PACKAGE + "store.ProgramStore.budget_of", separate_budget)
    ],
    "the newest budget cell is not applied": [
        (PACKAGE + "admission._refusal", stale_limit)
    ],
    "a call is admitted out of order": [
        (PACKAGE + "admission.known_call", admit_early)
    ],
    "another body joins": [(PACKAGE + "admission.known_call", join_any_body)],
    "a dispatched attempt is superseded": [
        (PACKAGE + "admission.supersedes", supersede_dispatched)
    ],
    "another gateway's attempt is superseded": [
        (PACKAGE + "admission.supersedes", supersede_any_gateway)
    ],
    "an ended program admits": [(PACKAGE + "admission._refusal", admit_when_ended)],
    "another tenant sees a program": [
        (PACKAGE + "store.ProgramStore.visible", any_tenant)
    ],
    "an old attempt is dispatched or finished": [
        (PACKAGE + "attempts._newest_attempt", any_attempt_is_newest)
    ],
    "the intent is not recorded": [
        (PACKAGE + "attempts.dispatch", dispatch_without_intent)
    ],
    "an abandoned attempt is dispatched": [
        (PACKAGE + "attempts.dispatch", dispatch_an_abandoned_attempt)
    ],
    "an unrepeatable call is tried again": [
        (PACKAGE + "attempts.finish_with_problem", retry_unrepeatable)
    ],
    "ran: no is reported for every problem": [
        (PACKAGE + "attempts._stored_problem", always_report_no)
    ],
    "ran covers the last attempt only": [
        (PACKAGE + "attempts._stored_problem", report_last_attempt_only)
    ],
    "the history lacks the new messages": [
        (PACKAGE + "attempts.close_call", close_without_messages)
    ],
    "a sealed chunk is lost": [
        (PACKAGE + "history.History._seal_tail", seal_drops_a_turn)
    ],
    "turns are dropped for a page of other turns": [
        (PACKAGE + "history.page_digest", any_digest)
    ],
    "a page miscounts its messages": [
        (PACKAGE + "history.page_of", page_without_count)
    ],
    "a page lacks the digests of its calls": [
        (PACKAGE + "pages.TurnStub.of", stub_without_digest)
    ],
    "children outlive their parent": [(PACKAGE + "tree._end_tree", end_keeps_children)],
    "an end keeps an admitted call": [
        (PACKAGE + "tree._end_one", end_keeps_admitted_call)
    ],
    "a snapshot keeps the order of creation": [
        (PACKAGE + "store.ProgramStore.snapshot", unsorted_snapshot)
    ],
    "a new leader forgets the charges": [
        (PACKAGE + "store.ProgramStore.restore", restore_drops_charges)
    ],
}
