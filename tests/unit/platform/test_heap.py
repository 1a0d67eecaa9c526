"""Large buffers return to the system; a library without the setting is done without."""

from unittest import mock

from notcharch.platform.heap import MMAP_THRESHOLD_BYTES, return_large_buffers


def test_the_threshold_of_the_c_library_is_fixed():
    """A takeover had 235 MB at its peak, and 206 with a fixed threshold (a trial)."""
    library = mock.Mock()
    library.mallopt.return_value = 1
    assert return_large_buffers(lambda: library)
    library.mallopt.assert_called_once_with(-3, MMAP_THRESHOLD_BYTES)


def test_a_library_without_the_setting_is_done_without():
    def missing():
        raise OSError("no library")

    assert not return_large_buffers(missing)
    assert not return_large_buffers(lambda: mock.Mock(spec=[]))
