"""Maps programs and tenants to partitions, and partitions to topics."""

import msgspec
import xxhash

from notcharch.journal.interface import LogPartition


class Partitioning(msgspec.Struct, frozen=True):
    """Partitions that are numbered consecutively over several topics.

    A topic has few partitions and each partition has one owner, so more topics
    distribute the load over more daemons.
    """

    topics: tuple[str, ...]
    partitions_per_topic: int
    count: int
    """Number of partitions in use; the last topic may have more."""
    first: int = 0
    """Number of the first partition; the ranges of groups don't overlap."""

    @property
    def numbers(self) -> range:
        """The numbers of all partitions."""
        return range(self.first, self.first + self.count)

    def of_program(self, program: str) -> int:
        """Return the number of a program's partition."""
        return self.first + xxhash.xxh64_intdigest(program.encode()) % self.count

    def of_tenant(self, tenant: str) -> int:
        """Return the number of the partition that counts a tenant's calls."""
        digest = xxhash.xxh64_intdigest(f"tenant:{tenant}".encode())
        return self.first + digest % self.count

    def log_partition(self, number: int) -> LogPartition:
        """Return the topic and partition that store a partition's journal."""
        topic, index = divmod(number - self.first, self.partitions_per_topic)
        return LogPartition(self.topics[topic], index)

    def number(self, log_partition: LogPartition) -> int | None:
        """Return the number of a partition; None if it isn't one of these."""
        if log_partition.topic not in self.topics:
            return None
        before = self.topics.index(log_partition.topic) * self.partitions_per_topic
        number = self.first + before + log_partition.number
        return number if number in self.numbers else None


def partitioning_for_topics(
    topic: str, topics: int, partitions_per_topic: int, first: int = 0
) -> Partitioning:
    """Return a partitioning that uses all partitions of `topics` topics."""
    count = topics * partitions_per_topic
    return partitioning_for_count(topic, count, partitions_per_topic, first)


def partitioning_for_count(
    topic: str, count: int, partitions_per_topic: int, first: int = 0
) -> Partitioning:
    """Return a partitioning with `count` partitions over the fewest topics."""
    topics = -(-count // partitions_per_topic)
    names = tuple(f"{topic}-{number}" for number in range(topics))
    return Partitioning(names, partitions_per_topic, count, first)
