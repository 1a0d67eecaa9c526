"""A group that was founded while a daemon looked for it is not founded again.

The daemon asks the others first and reads the archive then. In between another
one may found the group, whose members have just said that they hold nothing.
"""

import pytest
from twisted.internet.task import deferLater

from notcharch.replication.epochs import generation_of
from tests.unit.replication.region import Region

PARTITIONS = range(4)


class LateReads:
    """A log service whose reads reach it late for one daemon."""

    def __init__(self, log, clock, seconds):
        self._log = log
        self._clock = clock
        self._seconds = seconds

    def append(self, stream, records):
        return self._log.append(stream, records)

    def read(self, *arguments, **options):
        def begin(_):
            return self._log.read(*arguments, **options)

        return deferLater(self._clock, self._seconds).addCallback(begin)


@pytest.mark.parametrize("seconds", [0.05, 0.2, 0.4])
@pytest.mark.parametrize(
    ("late", "unknown"), [("daemon-0", "daemon-3"), ("daemon-3", "daemon-0")]
)
def test_a_late_look_into_the_archive_founds_nothing_anew(late, unknown, seconds):
    region = Region(4)
    # Of two daemons in one zone, each seems right to who does not know the other.
    del region.views[late].live[unknown]
    region.views[late].changed()
    region.services[late]._recovery._log = LateReads(region.log, region.clock, seconds)
    region.run(5.0)
    for partition in PARTITIONS:
        leader = region.leader_of(partition)
        epoch = region.services[leader].leader_epoch(partition)
        assert generation_of(epoch) == 1
