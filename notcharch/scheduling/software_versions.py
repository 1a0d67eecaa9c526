"""The software versions that the engines of each service had recently. Pure.

A stream may be resumed only at the version that began it. While a service has had one
version for longer than a stream can be resumed, that version began every stream, and
nothing has to be recorded. The proof needs one rule: who is
asked to resume a stream claims it only if its list of engines was up to date after that. The
stream began before, at an engine that was listed before.

A daemon begins no stream at a version before it has seen it for `SETTLING_SECONDS`, if
another one serves, so that few streams begin at a version that peers can't go on at.
"""

from collections.abc import Iterable, Mapping

import msgspec

SETTLING_SECONDS = 2.0
"""How long a version is listed before streams begin there, if another one serves."""
MIXED_MEMORY_SECONDS = 300.0
"""For so long after a service had several versions, records are searched although it has
one again. A daemon that was cut from the list may have begun streams at an engine that was
no longer listed; it recorded them."""
MIN_RESUMABLE_SECONDS = 10.0
"""How long a stream can be resumed, at least; callers wait for some seconds."""


class VersionTimes(msgspec.Struct):
    """When a version of a service was listed, in clock seconds."""

    first_seen: float
    last_seen: float
    is_listed: bool = True


class SoftwareVersions:
    """The versions of each service, as read from the list of engines."""

    def __init__(self, poll_seconds: float = 0.0) -> None:
        """Start without engines; `poll_seconds` is the longest poll of the list."""
        self._max_age_seconds = SETTLING_SECONDS + 2 * poll_seconds
        """Age of the list beyond which polls have failed: a poll confirms the time at
        which it was sent, until the next one returns."""
        self.resumable_seconds = MIN_RESUMABLE_SECONDS
        """How long after its begin a stream may be resumed."""
        self._services: dict[str, dict[str, VersionTimes]] = {}
        self._restartable: frozenset[str] = frozenset()
        self._mixed_at: dict[str, float] = {}
        """When a service last had several versions."""
        self._followed_since: float | None = None
        """Since when no version can have come and gone unseen."""
        self._confirmed_at: float | None = None
        """Latest time at which the list was up to date."""
        self._read_at: float | None = None
        """When that became known."""

    # Updates

    def set_resumable_seconds(self, seconds: float) -> None:
        """Set how long streams may be resumed after their begin."""
        self.resumable_seconds = max(seconds, MIN_RESUMABLE_SECONDS)

    def list_changed(
        self,
        listed: Iterable[tuple[str, str]],
        now: float,
        *,
        restartable: frozenset[str] = frozenset(),
    ) -> None:
        """Update from the service and version of each listed engine.

        `restartable` are the services whose engines may start again under their ids.
        """
        self._restartable = restartable
        listed_versions = set(listed)
        for service, version in listed_versions:
            self._see(service, version, now)
        for service, versions in self._services.items():
            for version, times in versions.items():
                if times.is_listed and (service, version) not in listed_versions:
                    times.is_listed = False
                    times.last_seen = now
            self._forget(versions, now)
            if len(versions) > 1:
                self._mixed_at[service] = now

    def _see(self, service: str, version: str, now: float) -> None:
        versions = self._services.setdefault(service, {})
        times = versions.get(version)
        if times is None or self._is_over(times, now):
            versions[version] = VersionTimes(now, now)
        else:
            times.is_listed = True

    def _is_over(self, times: VersionTimes, now: float) -> bool:
        """Return whether no stream that a version began can be resumed any more."""
        is_old = now - times.last_seen > self.resumable_seconds
        return not times.is_listed and is_old

    def _forget(self, versions: dict[str, VersionTimes], now: float) -> None:
        """Remove the versions that began no stream that can still be resumed."""
        for version, times in list(versions.items()):
            if self._is_over(times, now):
                del versions[version]

    def confirmed(self, at: float, now: float) -> None:
        """Record that the list was up to date at a time.

        After a time without reads, versions may have come and gone unseen.
        """
        has_gap = self._read_at is None or at - self._read_at > SETTLING_SECONDS
        if has_gap:
            self._followed_since = at
        self._confirmed_at, self._read_at = at, now

    def restarted(self) -> None:
        """Record that the list was read anew as a whole, without what was between."""
        self._read_at = None

    # Queries

    def only_version(self, service: str, since: float, now: float) -> str:
        """Return the version that began every stream of a service before `since`.

        Empty if that is not certain: the list must have been up to date at `since` or later.
        """
        confirmed = self._confirmed_at
        if confirmed is None or confirmed < since:
            return ""
        return self._only_version(service, now)

    def may_be_certain(self, service: str, now: float) -> bool:
        """Return whether a service has one version for all that polls have shown.

        It is certain once the list is confirmed.
        """
        return bool(self._only_version(service, now))

    def age_seconds(self, now: float) -> float:
        """Return how long ago the list was up to date; 0 if it never was."""
        return 0.0 if self._confirmed_at is None else now - self._confirmed_at

    def may_have_doubts(self, service: str, now: float) -> bool:
        """Return whether peers may hold records that contradict an only version.

        That is so if the service had several versions not long ago, or if its engines may
        start again under their ids with software that is not listed yet.
        """
        if service in self._restartable:
            return True
        mixed_at = self._mixed_at.get(service)
        return mixed_at is not None and now - mixed_at < MIXED_MEMORY_SECONDS

    def needs_records(self, service: str, now: float) -> bool:
        """Return whether the origin of new streams must be recorded at peers.

        That is so while some daemon may not be certain of the service's only version.
        """
        return not self.may_be_certain(service, now)

    def _only_version(self, service: str, now: float) -> str:
        followed, confirmed = self._followed_since, self._confirmed_at
        if followed is None or confirmed is None:
            return ""
        is_followed = now - followed >= self.resumable_seconds
        if not is_followed or now - confirmed >= self._max_age_seconds:
            return ""
        recent = self._recent(service, now)
        return recent[0] if len(recent) == 1 else ""

    def _recent(self, service: str, now: float) -> list[str]:
        """Return the versions that may have begun a stream that can be resumed."""
        return [
            version
            for version, times in self._services.get(service, {}).items()
            if not self._is_over(times, now)
        ]

    def settled(self, service: str, now: float) -> frozenset[str] | None:
        """Return the versions at which streams may begin; None if all may.

        All may where no listed version is known for long enough: streams would begin
        nowhere otherwise.
        """
        versions: Mapping[str, VersionTimes] = self._services.get(service, {})
        if len(versions) <= 1:
            return None
        settled = frozenset(
            version
            for version, times in versions.items()
            if times.is_listed and now - times.first_seen >= SETTLING_SECONDS
        )
        return settled or None
