"""Tests of engines' entries that can't be read, or only in part, beside good ones."""

from tests.unit.platform.tables_world import World

NESTED = b"[" * 60_000 + b"]" * 60_000
NESTED_ENTRY = (
    b'{"service":"s","address":"10.0.0.1:80","state":"ready","x":%b}' % NESTED
)
DRAIN_SECONDS = 2.0


def test_an_entry_that_cannot_be_read_does_not_hide_that_others_leave():
    world = World()
    world.write_value("c", NESTED_ENTRY)
    world.run(1.0)
    world.write("a", "draining")
    world.write("b", "draining")
    world.write("d")
    world.run(DRAIN_SECONDS)
    chosen = world.pool.choose("s", "", {"c"})
    assert chosen is not None
    assert chosen.id == "d"


def test_a_daemon_starts_beside_an_entry_that_cannot_be_read():
    before = World()
    before.write_value("c", NESTED_ENTRY)
    world = World(other=before)
    world.put_operator_key(
        "config", b'{"version":1,"routes":[],"services":[],"limits":{}}'
    )
    world.run(1.0)
    assert world.tables.are_loaded
    assert world.takes_calls("a")


def test_an_engine_whose_remaining_cold_time_cannot_be_read_gets_calls():
    world = World()
    world.write_value(
        "b",
        b'{"service":"s","address":"10.0.0.1:80","state":"ready","version":"v1",'
        b'"cold_remaining_ms":1e400}',
    )
    world.run(1.0 + DRAIN_SECONDS)
    assert world.takes_calls("b")
