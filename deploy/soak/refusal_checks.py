"""Refusals that are not true: of a valid key, an unlimited tenant, an unspent budget."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from deploy.soak.observations import Asked, Run, Violation
from deploy.soak.settings import BUDGET_TOKENS, MOST_TOKENS, TOKENS_PER_EVENT
from deploy.soak.tenants import LEARN_SECONDS, Tenants

KEY_UNKNOWN, BUDGET_SPENT, OVER_LIMIT = 401, 402, 429


def false_refusals(
    asked: Iterable[Asked], tenants: Tenants, *, in_contact: bool
) -> list[Violation]:
    """Return the requests that were refused for a key or limit without a reason.

    Daemons out of contact may not know a key that was added during the soak.
    """
    found = []
    for one in asked:
        tenant = tenants.named(one.tenant)
        if tenant is None:
            continue
        added = tenant.keys.get(one.key)
        is_known = added is not None and (in_contact or added < 0)
        if (
            one.status == KEY_UNKNOWN
            and is_known
            and added is not None
            and one.sent_at >= added + LEARN_SECONDS
        ):
            found.append(Violation("KEY", one.id, f"401 at {one.daemon}, in force"))
        if one.status == OVER_LIMIT and not tenant.rate_per_second:
            found.append(Violation("QUOTA", one.id, f"429 at {one.daemon}, no limit"))
    return found


def false_budget_refusals(
    asked: Iterable[Asked],
    runs: Mapping[str, list[Run]],
    lengths: Mapping[str, int],
) -> list[Violation]:
    """Return the programs that were refused although their budgets had room for a turn.

    Each run counts all events of its stream, also those that no caller got, and each
    attempt counts a whole turn, as it may have been admitted.
    """
    attempts = [one for one in asked if one.program and one.is_stream]
    used: dict[str, int] = defaultdict(int)
    for one in attempts:
        count = max(len(runs.get(one.id, ())), 1)
        used[one.program] += (
            TOKENS_PER_EVENT * lengths.get(one.stream, 0) * count or MOST_TOKENS
        )
    refused = {one.program: one for one in attempts if one.status == BUDGET_SPENT}
    return [
        Violation(
            "BUDGET", one.id, f"402 at {one.daemon}, at most {used[program]} used"
        )
        for program, one in refused.items()
        if used[program] + MOST_TOKENS <= BUDGET_TOKENS
    ]
