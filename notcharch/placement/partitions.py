"""Program ids, and the mapping of programs, services and engines to partitions."""

import secrets

import xxhash

from notcharch.values.identifiers import (
    EngineName,
    PartitionNumber,
    ProgramId,
    RegionName,
    ServiceName,
)

RANDOM_BYTES = 8


def new_program_id(region: RegionName, partition: PartitionNumber) -> ProgramId:
    """Generate a random program id in a partition of a region."""
    return ProgramId(f"{region}-{partition:x}-{secrets.token_hex(RANDOM_BYTES)}")


def partition_of_program(program: ProgramId) -> PartitionNumber | None:
    """Parse the partition of a program id; None if the id is malformed."""
    parts = program.rsplit("-", 2)
    if len(parts) != 3:
        return None
    try:
        return PartitionNumber(int(parts[1], 16))
    except ValueError:
        return None


def partition_of_service(service: ServiceName, count: int) -> PartitionNumber:
    """Return the partition whose leader limits a service."""
    return _partition_of_key(f"service/{service}", count)


def partition_of_engine(engine: EngineName, count: int) -> PartitionNumber:
    """Return the partition that records the steward epochs of an engine."""
    return _partition_of_key(f"engine/{engine}", count)


def _partition_of_key(key: str, count: int) -> PartitionNumber:
    return PartitionNumber(xxhash.xxh64_intdigest(key.encode()) % count)
