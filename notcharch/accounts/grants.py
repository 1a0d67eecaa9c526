"""How many tokens an owner grants to a call at once. Pure.

If a gateway and the owner are lost, what was granted and not relayed stays doubted. A call
is served while the doubt of its program does not exceed the maximum of one call, so a grant
takes half of what is left of that.
"""


def half_of(slack: int, event_tokens: int) -> int:
    """Return half of the slack in whole events; one event at least."""
    step = max(event_tokens, 1)
    return max(slack // 2 // step * step, step)


def first_grant(slack: int, event_tokens: int, most_tokens: int) -> int:
    """Return the grant with which a call begins.

    A gateway that tells no `event_tokens` asks for no further ones: its call is granted
    as a whole.
    """
    if event_tokens <= 0:
        return most_tokens
    return min(half_of(slack, event_tokens), most_tokens)


def raised_grant(slack: int, event_tokens: int, *, granted: int, relayed: int) -> int:
    """Return the total grant of a call that asks for more.

    It does not follow how many events wait: an engine may send faster than grants can be
    written, and its call would then take the slack of all others.
    """
    return max(granted, relayed + half_of(slack, event_tokens))


def least_grant(event_tokens: int, *, granted: int, wanted: int) -> int:
    """Return the least total with which a call that asks for more goes on."""
    return min(wanted, granted + max(event_tokens, 1))
