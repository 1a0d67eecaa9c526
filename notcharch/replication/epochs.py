"""Epochs: a generation, which only a claim in the log service raises, and a term.

A group that lost its majority is rebuilt under a new generation. Every epoch of
a generation is higher than all of the generation before, so one number fences
both a replaced leader and a replaced group.
"""

from notcharch.values.identifiers import Epoch

TERMS_PER_GENERATION = 1_000_000_000


def generation_of(epoch: Epoch) -> int:
    """Give the number of claims up to this epoch's group; 0 before the first."""
    return epoch // TERMS_PER_GENERATION


def first_epoch_of(generation: int) -> Epoch:
    """Give the epoch in which the claimant of a generation leads."""
    return Epoch(generation * TERMS_PER_GENERATION)
