"""The size to design for, and what follows from it for one daemon of one region."""

import msgspec


class DesignSize(msgspec.Struct, frozen=True):
    """The users' plan for two years."""

    daemons: int = 600
    engines: int = 2_700
    accelerators: int = 22_000
    requests_per_second: float = 35_000
    tokens_per_second: float = 7_500_000
    programs: int = 1_600_000
    most_turns: int = 470
    most_tokens: int = 850_000
    tenants: int = 320
    models: int = 8
    regions: int = 8
    zones: int = 27
    table_changes_per_day: float = 5_700
    table_seconds: float = 16
    failures_per_day: float = 20
    restarts_per_day: float = 230
    control_core_percent: float = 1.6
    control_bytes_per_second: float = 2_000
    memory_bytes: float = 128e6

    @property
    def region_daemons(self) -> int:
        """Daemons of one region."""
        return self.daemons // self.regions

    @property
    def daemon_engines(self) -> float:
        """Engines that one daemon stewards, on average."""
        return self.engines / self.daemons

    @property
    def daemon_calls(self) -> float:
        """Calls of one daemon's gateway a second."""
        return self.requests_per_second / self.daemons

    @property
    def daemon_tokens(self) -> float:
        """Tokens that cross one daemon a second."""
        return self.tokens_per_second / self.daemons

    @property
    def call_tokens(self) -> float:
        """Generated tokens of one call, on average."""
        return self.tokens_per_second / self.requests_per_second

    @property
    def daemon_programs(self) -> float:
        """Programs that one daemon leads, on average."""
        return self.programs / self.daemons
