"""The regression runs: the standing set, and what a bench says of it."""

from pathlib import Path

import pytest

from deploy.regression.scores import STANDING_SET, Site, read_sites, score_all

BENCH = """#!/bin/sh
echo "$@" >> calls
case "$2" in *bad*) echo "GATE failed";; *) echo "GATE passed";; esac
"""


def test_the_standing_set_can_be_read():
    sites = read_sites(STANDING_SET.read_text())
    assert sites
    assert all(site.most_jobs >= 1 for site in sites)


@pytest.mark.parametrize("line", ["a.toml", "a.toml many", "a.toml 2 3"])
def test_a_line_that_is_no_site_is_named(line):
    with pytest.raises(ValueError, match="line 2"):
        read_sites(f"# a comment\n{line}\n")


def test_each_site_is_scored_with_no_more_jobs_than_it_takes(tmp_path, monkeypatch):
    bench = tmp_path / "bench"
    bench.write_text(BENCH)
    bench.chmod(0o755)
    monkeypatch.chdir(tmp_path)
    sites = [Site(Path("good.toml"), 2), Site(Path("bad.toml"), 8)]
    scored = list(score_all(bench, Path("kit"), sites, jobs=4, why="w"))
    assert [each.passed for each in scored] == [True, False]
    assert (tmp_path / "calls").read_text().splitlines() == [
        "score kit/good.toml --jobs 2 --why w",
        "score kit/bad.toml --jobs 4 --why w",
    ]
