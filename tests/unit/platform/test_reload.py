"""Which settings are applied on a reload, and which need a restart."""

from notcharch.platform.reload import KEYS, STORE_KEYS
from notcharch.platform.settings import ProcessSettings, StoreSettings


def test_each_setting_is_applied_on_a_reload_or_named_as_needing_a_restart():
    """Guards against a new field whose change is ignored silently."""
    applied = {"store", "grace_seconds"}
    assert set(KEYS) == set(ProcessSettings.__struct_fields__) - applied
    applied = {"address", "log_limits"}
    assert set(STORE_KEYS) == set(StoreSettings.__struct_fields__) - applied
