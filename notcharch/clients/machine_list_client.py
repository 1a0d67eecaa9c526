"""The client of the platform's list of machines."""

from urllib.parse import urlencode

from result import Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.web.iweb import IAgent

from notcharch.clients.json_http import GET, JsonHttp
from notcharch.clients.ports import MachineChanges
from notcharch.errors import Problem, ProblemCode
from notcharch.settings.schema import PlatformSection
from notcharch.values.identifiers import RegionName


class MachineListClient:
    """Implements `MachineListPort` over HTTP."""

    def __init__(
        self, agent: IAgent, clock: IReactorTime, settings: PlatformSection
    ) -> None:
        """Take the address and the time-out from the settings."""
        self._url = f"http://{settings.machine_list}/v1/machines"
        self._http = JsonHttp(
            agent,
            clock,
            settings.request_seconds,
            "machine list",
            ProblemCode.UNAVAILABLE,
        )

    def changes(
        self, region: RegionName, after: int | None
    ) -> "Deferred[Result[MachineChanges, Problem]]":
        """Return the changes since version `after`, or the full list for None."""
        query: dict[str, str] = {"region": region}
        if after is not None:
            query["after"] = str(after)
        url = f"{self._url}?{urlencode(query)}"
        return Deferred.fromCoroutine(self._http.call(GET, url, MachineChanges))
