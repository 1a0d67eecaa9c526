"""How the soak leaves settings files unfinished."""

from random import Random

import pytest
from result import Err

from deploy.soak.settings_file import (
    SHORT_SECONDS,
    SettingsFault,
    SettingsFile,
    spoiled,
)
from notcharch.platform.settings import read_settings
from tests.unit.platform.test_settings import TEXT


@pytest.mark.parametrize("fault", list(SettingsFault))
@pytest.mark.parametrize("seed", range(20))
def test_no_settings_can_be_made_of_an_unfinished_file(fault, seed):
    """A daemon could not know that such settings are not the whole ones."""
    content = spoiled(TEXT, fault, Random(seed))
    if content is None:
        return
    try:
        text = content.decode()
    except UnicodeDecodeError:
        assert fault is SettingsFault.NO_TEXT
        return
    assert isinstance(read_settings(text), Err)


def test_cuts_are_in_lines_or_at_their_ends():
    in_lines, at_ends = (
        {spoiled(TEXT, fault, Random(n)).decode() for n in range(20)}
        for fault in (SettingsFault.CUT_IN_LINE, SettingsFault.CUT_AT_LINE)
    )
    assert len(in_lines) > 1 and not any(text.endswith("\n") for text in in_lines)
    assert len(at_ends) > 1 and all(text.endswith("\n") for text in at_ends)
    assert all(TEXT.startswith(text) for text in in_lines | at_ends)


def test_a_short_cut_in_a_line_may_leave_settings_that_look_valid():
    """Only the missing end of its last line shows that the file is being written."""
    cut = SettingsFault.CUT_IN_LINE
    texts = [spoiled(TEXT, cut, Random(n), SHORT_SECONDS).decode() for n in range(60)]
    assert not any(text.endswith("\n") for text in texts)
    assert any(read_settings(text).is_ok() for text in texts)


@pytest.mark.parametrize("fault", list(SettingsFault))
def test_a_file_is_unfinished_until_it_is_written_whole(fault, tmp_path):
    path = tmp_path / "d0.conf"
    file = SettingsFile(path, TEXT)
    assert path.read_text() == TEXT
    file.spoil(fault, Random(1), 1.0)
    assert file.fault is fault
    assert path.exists() is (fault is not SettingsFault.MISSING)
    assert not path.exists() or path.read_bytes() != TEXT.encode()
    file.write_whole()
    assert file.fault is None
    assert path.read_text() == TEXT
