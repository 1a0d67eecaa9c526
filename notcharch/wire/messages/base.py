"""The base of every message between daemons."""

import msgspec

from notcharch.errors import Problem


class Message(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A typed message; its class name is its tag on the wire."""


class Refusal(Message, frozen=True):
    """The reply to any request that was not carried out as asked."""

    problem: Problem
