"""Daemons that all stop at once end quickly, and do not hand on to one another."""

import msgspec
import pytest

from tests.unit.replication.region import Region

PARTITIONS = 4


@pytest.mark.parametrize("daemons", [2, 3, 5])
def test_partitions_change_hands_few_times_when_nobody_knows_who_else_leaves(daemons):
    region = Region(daemons=daemons)
    region.run(3.0)
    taken = []
    for service in region.services.values():
        service.on_leadership(
            lambda _, epoch: epoch is not None and taken.append(epoch)
        )
    handing = []
    for name, service in region.services.items():
        view = region.views[name]
        view.live[name] = msgspec.structs.replace(view.live[name], leaving=True)
        handing.append(service.hand_over(20.0))
    region.run(2.0)
    assert len(taken) <= PARTITIONS * daemons
    for name in region.services:
        region.leave(name)
    region.run(2.0)
    assert [deferred.result.unarchived for deferred in handing] == [0] * daemons
