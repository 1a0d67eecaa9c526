"""The call that a request specifies."""

import attrs

from notcharch.values.chat import ChatMessage
from notcharch.values.identifiers import CallSequence, ProgramId, TenantName


@attrs.frozen
class CallName:
    """Identifies a call of a tenant's program."""

    tenant: TenantName
    program: ProgramId
    sequence: CallSequence


@attrs.frozen(kw_only=True)
class CallSpec:
    """One call; `messages` has the new ones only, `max_tokens` is bounded."""

    program: ProgramId
    tenant: TenantName
    sequence: CallSequence
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    parameters: bytes
    repeatable: bool
    digest: str
