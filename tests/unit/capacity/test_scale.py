"""The scale run: how a size becomes regions, and one small region of it."""

import argparse

import pytest

from experiments.scale import ScaleRun
from experiments.scale_command import region_sizes
from experiments.scale_region import ScaleRegion, ScaleSize
from notcharch.values.identifiers import PartitionNumber, TableVersion

OPTIONS = argparse.Namespace(partitions=64, seed=5, cold=False)


@pytest.mark.parametrize(
    ("daemons", "in_regions", "engines"),
    [(20, [20], 90), (75, [75], 337), (150, [75] * 2, 675), (600, [75] * 8, 2_700)],
)
def test_a_size_becomes_regions(daemons, in_regions, engines):
    sizes = list(region_sizes(daemons, OPTIONS))
    assert [size.daemons for size in sizes] == in_regions
    assert sum(size.engines for size in sizes) == engines
    assert [size.seed for size in sizes] == list(range(5, 5 + len(sizes)))


def test_a_size_between_whole_regions_is_refused():
    with pytest.raises(SystemExit):
        list(region_sizes(100, OPTIONS))


def test_conditions_do_not_hold_before_they_do():
    region = ScaleRegion(ScaleSize(4, 6, partitions=4))
    region.start_all()
    assert not region.membership_agrees()
    assert not region.partitions_led()
    assert region.seconds_until(region.partitions_led, 30.0) is not None
    region.list_engines()
    assert not region.engines_claimed()
    assert region.seconds_until(region.engines_claimed, 30.0) is not None
    region.crash_silently((region.leaders()[PartitionNumber(0)],))
    assert not region.membership_agrees()
    assert not region.partitions_led()
    assert region.seconds_until(region.partitions_led, 30.0) is not None
    assert region.seconds_until(lambda: False, 1.0) is None


def test_a_table_spreads_between_peers_while_only_one_daemon_has_the_log():
    run = ScaleRun(ScaleSize(3, 0, partitions=2), lambda line: None)
    run.region.start_all()
    run.region.run_until(run.region.partitions_led, 30.0)
    assert run._publish(TableVersion(0), 1.0) is not None
    spread = run._publish_into_outage()
    assert spread is not None
    assert spread > 0
