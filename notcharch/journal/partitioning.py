"""How programs are spread over the partitions of some topics."""

import msgspec
import xxhash

from notcharch.journal.interface import LogPartition


class Partitioning(msgspec.Struct, frozen=True):
    """The partitions of programs, numbered through all topics.

    A topic has few partitions, and each partition has one owner. More topics spread the
    work over more daemons.
    """

    topics: tuple[str, ...]
    partitions_of_a_topic: int

    @property
    def count(self) -> int:
        """Give how many partitions there are."""
        return len(self.topics) * self.partitions_of_a_topic

    def of_program(self, program: str) -> int:
        """Give the number of a program's partition."""
        return xxhash.xxh64_intdigest(program.encode()) % self.count

    def place(self, number: int) -> LogPartition:
        """Give where a partition is written."""
        topic, within = divmod(number, self.partitions_of_a_topic)
        return LogPartition(self.topics[topic], within)

    def number(self, place: LogPartition) -> int | None:
        """Give the number of a partition; None if it is not one of these."""
        if place.topic not in self.topics:
            return None
        return (
            self.topics.index(place.topic) * self.partitions_of_a_topic + place.number
        )


def spread_over(topic: str, topics: int, partitions_of_a_topic: int) -> Partitioning:
    """Give the partitioning over topics that are numbered from 0."""
    names = tuple(f"{topic}-{number}" for number in range(topics))
    return Partitioning(names, partitions_of_a_topic)
