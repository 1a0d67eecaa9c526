"""The event stream of a scripted engine."""

import json


def event(number: int, chunk: dict) -> bytes:
    return f"id: {number}\ndata: {json.dumps(chunk)}\n\n".encode()


def token(number: int) -> bytes:
    return event(
        number, {"choices": [{"index": 0, "delta": {"content": word(number)}}]}
    )


def word(number: int) -> str:
    return f"w{number}é "


DONE = b"data: [DONE]\n\n"


def last(number: int) -> bytes:
    return event(
        number,
        {
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": {
                "prompt_tokens": 9,
                "completion_tokens": number,
                "prompt_tokens_details": {"cached_tokens": 4},
            },
        },
    )


def events(tokens: int, start: int = 0) -> bytes:
    """Give the events from `start` on of an answer of so many tokens."""
    every = [token(number) for number in range(tokens)]
    return b"".join([*every, last(tokens), DONE][start:])


def content(tokens: int) -> str:
    return "".join(word(number) for number in range(tokens))
