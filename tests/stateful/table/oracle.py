"""An independent model of the replay: the table that every replica must reach.

It interprets the records' JSON and shares no code with the package.
"""

import json

import attrs

ROW_DEFAULTS = {
    "share": 1.0,
    "priority": 5,
    "budget_tokens": 1_000_000,
    "concurrency": 16,
    "calls_per_program": 1000,
    "max_answer_tokens": 1024,
    "idle_seconds": 3600.0,
    "max_age_seconds": 86400.0,
    "max_wait_seconds": 60.0,
    "paused": False,
}


ZONES = "(drained zones)"
"""Reserved key among the rows, for the drained zones; no service has this name."""


class RefusedError(Exception):
    """The record is refused."""


@attrs.define
class Oracle:
    """Replays records in order; `remembered` contains the last `memory` record ids."""

    memory: int
    rows: dict = attrs.Factory(dict)
    version: int = 0
    tables: dict = attrs.Factory(lambda: {0: {}})
    """Rows by accepted version."""

    verdicts: dict = attrs.Factory(dict)
    """The version created by each author, or None; each publication has its own author."""

    remembered: list = attrs.Factory(list)
    horizon: int = 0
    read: int = 0

    def follow(self, records):
        for record in records[self.read :]:
            self._replay(record)
        self.read = len(records)

    def _replay(self, record):
        body = self._publication(record)
        if body is None or record.id in [known for _, known in self.remembered]:
            return
        self.remembered.append((record.offset, record.id))
        try:
            if body["base_version"] < self.horizon:
                raise RefusedError
            rows = {name: dict(row) for name, row in self.rows.items()}
            for edit in body["edits"]:
                apply_edit(rows, edit)
            check_rows(rows)
        except RefusedError:
            self.verdicts.setdefault(body["author"], None)
        else:
            self._accept(record.offset + 1, rows, body["author"])
        while len(self.remembered) > self.memory:
            self.horizon = self.remembered.pop(0)[0] + 1

    def _accept(self, version, rows, author):
        assert self.verdicts.get(author) is None, f"{author} is in force twice"
        self.verdicts[author] = version
        self.rows, self.version = rows, version
        self.tables[version] = rows

    def _publication(self, record):
        try:
            body = json.loads(record.data)
        except ValueError:
            return None
        if not isinstance(body, dict) or "edits" not in body:
            return None
        return body if body["base_version"] <= record.offset else None


def apply_edit(rows, edit):
    if edit["type"] == "SetZoneDrain":
        apply_drain(rows, edit["zone"], edit["after"])
        return
    service, before, after = edit["service"], edit["before"], edit["after"]
    if edit["type"] == "SetRow":
        apply_row(rows, service, full(before), full(after))
    else:
        if service not in rows:
            raise RefusedError
        present = rows[service][edit["cell"]]
        if present not in (before, after):
            raise RefusedError
        rows[service][edit["cell"]] = after


def check_rows(rows):
    """Refuse a record whose final rows are invalid; intermediate rows may be invalid."""
    for name, row in rows.items():
        if name != ZONES and row["max_answer_tokens"] > row["budget_tokens"]:
            raise RefusedError


def apply_drain(rows, zone, is_drained):
    zones = rows.setdefault(ZONES, {})
    zones.pop(zone, None)
    if is_drained:
        zones[zone] = True
    if not zones:
        del rows[ZONES]


def apply_row(rows, service, before, after):
    present = rows.get(service)
    if present not in (before, after):
        raise RefusedError
    if after is None:
        rows.pop(service, None)
    else:
        rows[service] = after


def full(row):
    return None if row is None else {**ROW_DEFAULTS, **row}
