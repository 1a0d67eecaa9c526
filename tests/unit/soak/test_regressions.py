"""The list of the soak's seeds."""

import pytest

from deploy.soak.regressions import SEEDS, Regression, read_seeds


def test_the_committed_list_can_be_read():
    assert read_seeds(SEEDS.read_text()).is_ok()


def test_a_line_becomes_a_command():
    text = "# comment\n\n7 | 20 | planned | a stop cut a stream\n"
    assert read_seeds(text).ok_value == [
        Regression(7, 20.0, True, "a stop cut a stream")
    ]
    command = read_seeds(text).ok_value[0].command()
    assert command[1:] == [
        *("-m", "deploy.soak", "--seed", "7"),
        *("--seconds", "20.0", "--planned"),
    ]


@pytest.mark.parametrize(
    "line", ["7 | 20 | planned", "x | 20 | all | c", "7 | 20 | some | c"]
)
def test_every_wrong_line_is_told(line):
    findings = read_seeds(f"{line}\n{line}\n").err_value
    assert [finding[:6] for finding in findings] == ["line 1", "line 2"]
