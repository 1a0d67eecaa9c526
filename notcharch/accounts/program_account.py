"""The account of one program: what it has used, and what it may have used. Pure.

Tokens count in four parts. *Used* ones were certainly generated. *Doubted* ones may have
been, since a former owner let the program generate them and was lost before it recorded
whether it did. *Unproven* ones may have been, since the log dropped records too early. A
call in flight *reserves* its maximum, of which a part is *granted*; a call that was lost
counts its grant, of which the part that it *relayed* is certain. The journal's *bound* covers
the first three and all grants, so a next owner counts no less than was generated.
"""

from collections.abc import Callable, Mapping

import msgspec

from notcharch.accounts.doubt_sources import NotedSources
from notcharch.accounts.messages import WHOLE_CALL
from notcharch.accounts.records import (
    NO_DOUBT,
    AccountDoubt,
    AccountHandedOver,
    AccountState,
    BoundRaised,
    CallGrant,
)
from notcharch.accounts.starting_allowance import NO_ALLOWANCE
from notcharch.values.doubts import DoubtCause, DoubtSource
from notcharch.values.identifiers import Member

MAX_ABANDONED = 64
"""Calls of a program whose end came before their admission; the requests for admission
that are still on their way take half a second."""
MAX_SETTLED = 4
"""Calls whose end is known, for reports that are repeated."""
MAX_DOUBTED_CALLS = 8
"""Lost calls of a program that are known one by one; their ends may still be told."""
RESERVATION_TIMEOUT_SECONDS = 12.0
"""A call of which nothing was heard for this time may have ended."""


class Reservation(msgspec.Struct):
    """Tokens reserved for a call in flight."""

    tokens: int
    """The call's maximum."""
    since: float
    """Time of the admission, or of the last raise of the grant, in clock seconds."""
    granted: int
    """Tokens that its gateway may relay."""
    relayed: int = 0
    """Of the grant, those that were certainly relayed."""
    event_tokens: int = 0
    """Tokens of one event; 0 if the whole call is granted at once."""
    gateway: Member | None = None
    """The process that runs the call, if this owner admitted it."""
    is_doubted: bool = False
    """Whether the call may have ended meanwhile: a former owner admitted it, or its gateway
    is lost."""

    @property
    def unsettled(self) -> int:
        """Tokens that stay doubted if the call is lost."""
        return self.granted - self.relayed

    @property
    def counted(self) -> int:
        """Tokens that count for the budget."""
        return self.granted if self.is_doubted else self.tokens

    @property
    def certain(self) -> int:
        """Tokens that count for the budget beyond doubt."""
        return self.relayed if self.is_doubted else self.tokens


def process_name(member: Member | None) -> str:
    """Return the name of a process for log lines; empty if it is not known."""
    return "" if member is None else f"{member.daemon} {member.incarnation}"


def grants_of(calls: Mapping[str, Reservation]) -> dict[str, CallGrant]:
    """Return the grants of calls that are granted less than their maximum."""
    return {
        call: CallGrant(held.granted, held.relayed)
        for call, held in calls.items()
        if held.granted != held.tokens or held.relayed
    }


def _handed_over(
    tokens: int, since: float, grant: CallGrant | None, *, is_doubted: bool = False
) -> Reservation:
    """Return the reservation of a former owner's call; older builds granted it whole."""
    grant = grant or CallGrant(tokens)
    return Reservation(
        tokens, since, grant.granted, grant.relayed, is_doubted=is_doubted
    )


class Program:
    """The account of one program."""

    def __init__(self) -> None:
        """Start with no tokens used."""
        self.bound = 0
        """Tokens that the journal counts as generated."""
        self.offset = -1
        """Offset of the program's newest record; negative if it has none."""
        self._pending: list[int] = []
        """Bounds of records in flight, any of which the next owner may find as the last."""
        self.inherited = NO_ALLOWANCE
        """The allowance of former owners that `doubted` includes."""
        self.inherited_tokens = 0
        """Tokens that are counted for `inherited`."""
        self.largest_call = 0
        """Largest maximum of a call that this owner saw."""
        self.allowance_tokens = 0
        """Tokens that the next owner counts if the program has no record."""
        self.budget = 0
        """Tokens that the program may use, as its last call stated."""
        self.is_initialized = False
        """True once a record or the starting allowance has been applied."""
        self.used = 0
        self.doubted = 0
        self.unproven = 0
        self.noted = NotedSources()
        """Where `doubted` comes from."""
        self.reserved: dict[str, Reservation] = {}
        self.abandoned: dict[str, None] = {}
        """Calls that ended before their admission here, oldest first."""
        self._settled: tuple[str, ...] = ()
        self.last_used_at = 0.0
        self.cached_engine = ""
        """The engine that ran the program's last call; not restored after a crash."""

    @property
    def has_record(self) -> bool:
        """Whether the journal has a record of the program."""
        return self.offset >= 0 or self.bound > 0

    @property
    def committed(self) -> int:
        """Tokens that are or may be used, or are reserved by calls in flight."""
        counted = sum(held.counted for held in self.reserved.values())
        return self.used + self.doubted + self.unproven + counted

    @property
    def certain(self) -> int:
        """Tokens that are certainly used, or reserved by calls that certainly run."""
        return self.used + sum(held.certain for held in self.reserved.values())

    @property
    def under_way(self) -> int:
        """Tokens that are reserved by calls that certainly run."""
        return sum(
            held.tokens for held in self.reserved.values() if not held.is_doubted
        )

    def covered(self, besides: str = "") -> int:
        """Return the tokens that the journal must count, without those of a call."""
        granted = sum(
            held.granted for call, held in self.reserved.items() if call != besides
        )
        return self.used + self.doubted + self.unproven + granted

    def slack(self, most_tokens: int, besides: str = "") -> int:
        """Return how much may be granted to a call so that one call's maximum is doubted."""
        unsettled = sum(
            held.unsettled for call, held in self.reserved.items() if call != besides
        )
        return most_tokens - self.doubted - self.unproven - unsettled

    @property
    def is_running(self) -> bool:
        """Whether a call certainly runs."""
        return any(not held.is_doubted for held in self.reserved.values())

    @property
    def is_doubted(self) -> bool:
        """Whether more is counted than was certainly generated."""
        return self.committed > self.certain

    def doubt_sources(self) -> tuple[DoubtSource, ...]:
        """Return where the tokens that are not certainly used come from."""
        calls = tuple(
            DoubtSource(
                DoubtCause.LOST_CALL, held.unsettled, call, process_name(held.gateway)
            )
            for call, held in self.reserved.items()
            if held.is_doubted
        )
        dropped = DoubtSource(DoubtCause.DROPPED_RECORDS, self.unproven)
        noted = self.noted.all() if self.doubted else ()
        return (*noted, *calls, *((dropped,) if self.unproven else ()))

    def limit(self, starting_tokens: int) -> int:
        """Return up to how many tokens the next owner counts, whatever it finds.

        `starting_tokens` are those of the allowance in force.
        """
        durable = self.bound if self.has_record else starting_tokens
        return min((durable, *self._pending))

    # Calls

    def abandon(self, call: str) -> None:
        """Note that a call ended; its admission may come later."""
        self.abandoned[call] = None
        if len(self.abandoned) > MAX_ABANDONED:
            del self.abandoned[next(iter(self.abandoned))]

    def settle(
        self,
        call: str,
        tokens: int,
        *,
        is_recorded: bool = False,
        is_kept: bool = False,
        granted: int = WHOLE_CALL,
    ) -> int:
        """Count what a call generated in place of its reservation.

        A call that is not known was let in by a former owner, whose bound covers its grant,
        or ended before its admission. `is_recorded` if a record of a former owner counts it,
        `is_kept` if it certainly ran and has not been counted. `granted` is what owners
        granted to it, as its gateway tells.
        Return how many tokens are doubted no more.
        """
        if call in self._settled:
            return 0
        self._settled = (*self._settled, call)[-MAX_SETTLED:]
        reservation = self.reserved.pop(call, None)
        if reservation is not None:
            self.used += tokens
            return reservation.unsettled if reservation.is_doubted else 0
        self.abandon(call)
        if is_recorded:
            return 0
        settled = self.unnamed_share(tokens, granted)
        self.doubted -= settled
        self.used += tokens if is_kept else settled
        return settled

    def unnamed_share(self, tokens: int, granted: int) -> int:
        """Return how much of the doubt is that of a call which no record names."""
        share = tokens if granted == WHOLE_CALL else granted
        return min(share, self.doubted)

    def is_over(self, call: str) -> bool:
        """Return whether the end of a call is known."""
        return call in self.abandoned or call in self._settled

    def take_up(
        self,
        call: str,
        most_tokens: int,
        now: float,
        *,
        grant: CallGrant,
        event_tokens: int,
        gateway: Member | None,
    ) -> Reservation:
        """Reserve the tokens of a running call, as its gateway tells of its grant.

        What a former owner granted is doubted no more. The call stays doubted if the
        program has used too much meanwhile for what is granted.
        """
        held = self.reserved.pop(call, None) or Reservation(most_tokens, now, granted=0)
        granted = max(held.granted, grant.granted)
        self.doubted -= min(granted - held.granted, self.doubted)
        relayed = min(max(held.relayed, grant.relayed), granted)
        room = self.budget + most_tokens - self.committed
        taken = Reservation(
            min(most_tokens, max(room, granted)),
            now,
            granted,
            relayed,
            event_tokens,
            gateway,
            is_doubted=room < granted,
        )
        self.reserved[call] = taken
        return taken

    def doubt_calls(self, now: float, is_lost: Callable[[Member], bool]) -> None:
        """Doubt the calls whose gateways are lost, or whose end was not told in time."""
        for held in self.reserved.values():
            is_late = now - held.since > RESERVATION_TIMEOUT_SECONDS
            if is_late or (held.gateway is not None and is_lost(held.gateway)):
                self._doubt(held)
        doubted = [call for call, held in self.reserved.items() if held.is_doubted]
        for call in doubted[:-MAX_DOUBTED_CALLS]:
            self._forget(call)

    def _forget(self, call: str) -> None:
        """Count a doubted call without knowing it any more."""
        held = self.reserved.pop(call)
        self.used += held.relayed
        self.doubted += held.unsettled
        gateway = process_name(held.gateway)
        self.noted.add(DoubtSource(DoubtCause.LOST_CALL, held.unsettled, call, gateway))

    def doubt_all_calls(self) -> None:
        """Doubt all calls in flight: an owner that knew of them was lost."""
        for reservation in self.reserved.values():
            self._doubt(reservation)

    def _doubt(self, held: Reservation) -> None:
        if not held.is_doubted:
            held.is_doubted = True
            self.noted.is_told = False

    def ages(self, now: float) -> dict[str, float]:
        """Return for how long each call is in flight; doubted ones for too long."""
        doubted_age = RESERVATION_TIMEOUT_SECONDS + 1.0
        return {
            call: doubted_age if held.is_doubted else round(now - held.since, 1)
            for call, held in self.reserved.items()
        }

    # Records

    def replay_bound(self, record: BoundRaised, now: float, offset: int) -> None:
        """Apply a bound of an earlier owner."""
        state = AccountState(record.used_tokens, record.bound_tokens, record.doubt)
        self.replay_state(state, now, offset)

    def replay_state(self, state: AccountState, now: float, offset: int) -> None:
        """Apply what the record of an earlier owner says of the account."""
        self._replayed(offset)
        doubt = state.doubt or NO_DOUBT
        self.used = state.used_tokens
        self.unproven = doubt.unproven_tokens
        self._inherit(doubt, now)
        self.doubted = 0
        self.doubted = max(state.bound_tokens - self.covered(), 0)
        source = DoubtSource(DoubtCause.FORMER_BOUND, self.doubted, offset=offset)
        self.noted.replace(source)
        if self.is_doubted:
            self.noted.is_told = False
        self.bound = state.bound_tokens

    def replay_handover(
        self, record: AccountHandedOver, now: float, offset: int
    ) -> None:
        """Apply the account that an earlier owner handed over."""
        self._replayed(offset)
        self.used = record.used_tokens
        self.doubted = record.doubted_tokens
        if record.is_doubted and not record.doubted_tokens:
            self.used, self.doubted = 0, record.used_tokens
        source = DoubtSource(DoubtCause.HANDED_OVER, self.doubted, offset=offset)
        self.noted.replace(source)
        self.unproven = record.unproven_tokens
        self.reserved = {
            call: _handed_over(
                tokens, now - record.ages.get(call, 0.0), record.grants.get(call)
            )
            for call, tokens in record.under_way.items()
        }
        self.cached_engine = record.home
        self.bound = self.covered()

    def _replayed(self, offset: int) -> None:
        self.is_initialized = True
        self.offset = offset

    def _inherit(self, doubt: AccountDoubt, now: float) -> None:
        self.reserved = {
            call: _handed_over(tokens, now, doubt.grants.get(call), is_doubted=True)
            for call, tokens in doubt.under_way.items()
        }

    def state(
        self,
        bound: int,
        *,
        ended: str = "",
        tokens: int = 0,
        begun: dict[str, Reservation],
    ) -> AccountState:
        """Return the account for a record.

        Call `ended` has generated some tokens; the calls `begun` are let in with it.
        """
        calls = self.reserved | begun
        calls.pop(ended, None)
        is_granted_in_parts = any(held.event_tokens for held in calls.values())
        if not self.is_doubted and not is_granted_in_parts:
            calls = {}  # else calls that end at other daemons settle the doubt
        under_way = {call: held.tokens for call, held in calls.items()}
        doubt = AccountDoubt(under_way, self.unproven, grants_of(calls))
        return AccountState(
            self.used + tokens, bound, None if doubt == NO_DOUBT else doubt
        )

    def begin_write(self, bound: int) -> None:
        """Note that a record with a bound is being written."""
        self._pending.append(bound)

    def end_write(self, bound: int, *, is_durable: bool, offset: int) -> None:
        """Note the outcome of a write."""
        if bound in self._pending:
            self._pending.remove(bound)
        if is_durable:
            self.bound = bound
            self.offset = offset

    @property
    def is_being_written(self) -> bool:
        """Whether a record of the program is in flight."""
        return bool(self._pending)
