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
    partitions_per_topic: int
    count: int
    """How many partitions are in use; the last topic may have more."""
    first: int = 0
    """The number of the first; those of other groups have other numbers."""

    @property
    def numbers(self) -> range:
        """Give the numbers of all partitions."""
        return range(self.first, self.first + self.count)

    def of_program(self, program: str) -> int:
        """Give the number of a program's partition."""
        return self.first + xxhash.xxh64_intdigest(program.encode()) % self.count

    def of_tenant(self, tenant: str) -> int:
        """Give the number of the partition that counts a tenant's calls."""
        digest = xxhash.xxh64_intdigest(f"tenant:{tenant}".encode())
        return self.first + digest % self.count

    def log_partition(self, number: int) -> LogPartition:
        """Give where a partition is written."""
        topic, within = divmod(number - self.first, self.partitions_per_topic)
        return LogPartition(self.topics[topic], within)

    def number(self, log_partition: LogPartition) -> int | None:
        """Give the number of a partition; None if it is not one of these."""
        if log_partition.topic not in self.topics:
            return None
        before = self.topics.index(log_partition.topic) * self.partitions_per_topic
        number = self.first + before + log_partition.number
        return number if number in self.numbers else None


def partitioning_for_topics(
    topic: str, topics: int, partitions_per_topic: int, first: int = 0
) -> Partitioning:
    """Give the partitioning over all partitions of so many topics."""
    count = topics * partitions_per_topic
    return partitioning_for_count(topic, count, partitions_per_topic, first)


def partitioning_for_count(
    topic: str, count: int, partitions_per_topic: int, first: int = 0
) -> Partitioning:
    """Give the partitioning into so many partitions, over as many topics as it needs."""
    topics = -(-count // partitions_per_topic)
    names = tuple(f"{topic}-{number}" for number in range(topics))
    return Partitioning(names, partitions_per_topic, count, first)
