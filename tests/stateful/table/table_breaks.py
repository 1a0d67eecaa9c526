"""Deliberate bugs of the table, each of which the state machine must detect."""

import attrs
import msgspec
from result import Err, Ok

from notcharch.errors import Ran
from notcharch.table import merge, publisher, replay, replica_service
from notcharch.table.log_follower import LogFollower
from notcharch.table.publisher import PublicationResult, TablePublisher
from notcharch.table.replay import ReplayState, Verdict
from notcharch.table.replica_service import TableReplica


def repeated_ids_are_applied_again(monkeypatch):
    replay_record = replay.replay

    def without_history(state, record):
        known = state.history
        result = replay_record(attrs.evolve(state, history=()), record)
        return attrs.evolve(
            result,
            state=attrs.evolve(
                result.state, history=(*known, *result.state.history)[-8:]
            ),
        )

    monkeypatch.setattr(replica_service, "replay", without_history)


def bases_older_than_the_history_are_accepted(monkeypatch):
    evaluate = replay._evaluate

    def without_horizon(state, record, publication):
        horizon = state.horizon
        result = evaluate(attrs.evolve(state, horizon=0), record, publication)
        max_horizon = max(horizon, result.state.horizon)
        return attrs.evolve(
            result, state=attrs.evolve(result.state, horizon=max_horizon)
        )

    monkeypatch.setattr(replay, "_evaluate", without_horizon)


def the_last_writer_wins(monkeypatch):
    def apply_cell(self, edit):
        row = self._rows.get(edit.service)
        if row is not None:
            current = getattr(row, edit.cell)
            apply(self, msgspec.structs.replace(edit, before=current))

    apply = merge._Merging._apply_cell
    monkeypatch.setattr(merge._Merging, "_apply_cell", apply_cell)


def an_append_counts_as_accepted(monkeypatch):
    async def always_accepted(self, offset, record, deadline):
        entry_result = await wait(self, offset, record, deadline)
        if isinstance(entry_result, Ok):
            return Ok(
                msgspec.structs.replace(entry_result.ok_value, verdict=Verdict.ACCEPTED)
            )
        return entry_result

    wait = TablePublisher._verdict_at
    monkeypatch.setattr(TablePublisher, "_verdict_at", always_accepted)


def a_lost_acknowledgement_counts_as_not_published(monkeypatch):
    no_verdict = publisher.no_verdict

    def with_ran_no(record, ran, detail):
        return no_verdict(record, Ran.NO, detail)

    monkeypatch.setattr(publisher, "no_verdict", with_ran_no)


def a_fresh_id_for_each_append(monkeypatch):
    append = TablePublisher._append

    async def with_fresh_id(self, record, seconds=5.0):
        self.count = getattr(self, "count", 0) + 1
        fresh = msgspec.structs.replace(record, id=f"{record.id}-{self.count}")
        return await append(self, fresh, seconds)

    monkeypatch.setattr(TablePublisher, "_append", with_fresh_id)


def peers_may_install_older_versions(monkeypatch):
    def install_any(self, state, source):
        self._state = state
        self._put_in_force(state, source)

    monkeypatch.setattr(TableReplica, "install_state", install_any)


def snapshots_lack_the_history(monkeypatch):
    encode = ReplayState.encode

    def without_history(self):
        return encode(attrs.evolve(self, history=()))

    monkeypatch.setattr(ReplayState, "encode", without_history)


def entries_from_peers_lack_the_refused(monkeypatch):
    apply = replay.apply_entries

    def only_accepted(state, entries, next_offset):
        accepted = [entry for entry in entries if entry.is_in_force]
        return apply(state, accepted, next_offset)

    monkeypatch.setattr(replica_service, "apply_entries", only_accepted)


def a_restart_puts_old_versions_in_force(monkeypatch):
    apply = TableReplica.apply_records

    def always_in_force(self, records, *, put_in_force):
        apply(self, records, put_in_force=True)

    monkeypatch.setattr(TableReplica, "apply_records", always_in_force)


def no_table_is_fetched_from_peers(monkeypatch):
    monkeypatch.setattr(TableReplica, "on_digest", lambda self, member, version: None)


def the_log_is_not_read_after_a_failure(monkeypatch):
    follow = LogFollower._follow

    async def until_a_failure(self):
        shared = self._clock._queue
        if getattr(shared, "failed", False):
            return False
        shared.failed = not await follow(self)
        return not shared.failed

    monkeypatch.setattr(LogFollower, "_follow", until_a_failure)


def checkpoints_contain_an_older_table(monkeypatch):
    async def write(self, state):
        older = state.contents_at(state.history[-1].base_version)
        await append(self, attrs.evolve(state, contents=older or state.contents))

    append = TablePublisher._write_checkpoint
    monkeypatch.setattr(TablePublisher, "_write_checkpoint", write)


def an_unknown_outcome_is_reported_as_published(monkeypatch):
    async def publish(self, request, seconds):
        answer = await real(self, request, seconds)
        if isinstance(answer, Err) and answer.err_value.ran is Ran.UNKNOWN:
            version = self._replica.version
            return Ok(PublicationResult("", version, False, False, ()))
        return answer

    real = TablePublisher.publish
    monkeypatch.setattr(TablePublisher, "publish", publish)


DIVERGED = "was never accepted|other rows|not all have it"
OLDER_AT_START = "an older version came into force at start|went back"
NOT_EVERYWHERE = "not all have it"
FALSE_VERDICT = "told a version that it did not make"

BREAKS = (
    (repeated_ids_are_applied_again, DIVERGED),
    (bases_older_than_the_history_are_accepted, DIVERGED),
    (the_last_writer_wins, DIVERGED),
    (an_append_counts_as_accepted, FALSE_VERDICT),
    (a_lost_acknowledgement_counts_as_not_published, "but it is in force"),
    (a_fresh_id_for_each_append, "is in force twice"),
    (peers_may_install_older_versions, OLDER_AT_START),
    (snapshots_lack_the_history, DIVERGED),
    (entries_from_peers_lack_the_refused, DIVERGED),
    (a_restart_puts_old_versions_in_force, OLDER_AT_START),
    (no_table_is_fetched_from_peers, NOT_EVERYWHERE),
    (the_log_is_not_read_after_a_failure, NOT_EVERYWHERE),
    (checkpoints_contain_an_older_table, f"{DIVERGED}|{OLDER_AT_START}"),
    (an_unknown_outcome_is_reported_as_published, FALSE_VERDICT),
)
"""Each bug, and a pattern of the assertion message that must detect it."""
