"""Collects the events that a test emits."""

from contextlib import contextmanager

import eliot

# eliot gives what was written before its first destination to that one.
eliot.add_destinations(lambda _: None)


@contextmanager
def captured():
    """Give the list of messages written meanwhile."""
    messages: list[dict] = []
    eliot.add_destinations(messages.append)
    try:
        yield messages
    finally:
        eliot.remove_destination(messages.append)


def numbers(messages) -> set[int]:
    return {message.get("event_number") for message in messages}


def of(messages, event):
    return [m for m in messages if m.get("event_number") == event.number]
