"""Why an engine refuses, with the code and status of the wire."""

import enum

import msgspec


class RefusalCode(enum.Enum):
    """Codes of the engines' error bodies."""

    BAD_REQUEST = ("bad_request", 400)
    CONTEXT_TOO_LONG = ("context_too_long", 400)
    UNKNOWN_MODEL = ("unknown_model", 404)
    UNKNOWN_REQUEST = ("unknown_request", 404)
    NOTHING_HELD = ("nothing_held", 404)
    DUPLICATE_REQUEST = ("duplicate_request", 409)
    STALE_EPOCH = ("stale_epoch", 409)
    CACHE_BUSY = ("cache_busy", 409)
    RATE_LIMITED = ("rate_limited", 429)
    DRAINING = ("draining", 503)
    UNAVAILABLE = ("unavailable", 503)

    def __init__(self, slug: str, http_status: int) -> None:
        """Keep the name on the wire and the HTTP status beside each other."""
        self.slug = slug
        self.http_status = http_status


class EngineRefusal(msgspec.Struct, frozen=True):
    """A refusal before any effect; `retry_after` in seconds."""

    code: RefusalCode
    message: str
    retry_after: float | None = None
