"""Reading and writing table documents in TOML and CSV."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from notcharch.table.document import DocumentFormat, read_document, write_document
from notcharch.table.draft import read_table_draft
from notcharch.table.interface import ServiceRow, Table, TenantKey

NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,8}", fullmatch=True)
POOLS = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._/:-]{0,8}", fullmatch=True)
ROWS = st.builds(
    ServiceRow,
    service=NAMES,
    tenant=NAMES,
    pool=POOLS,
    share=st.floats(1e-6, 1e9),
    priority=st.integers(0, 9),
    budget_tokens=st.integers(10**6, 10**12),
    max_wait_seconds=st.floats(0, 1e6),
    paused=st.booleans(),
)
KEYS = st.builds(
    TenantKey, tenant=NAMES, key_sha256=st.from_regex("[0-9a-f]{64}", fullmatch=True)
)


@settings(derandomize=True, deadline=None, database=None)
@given(
    st.lists(ROWS, unique_by=lambda row: row.service, max_size=5),
    st.lists(KEYS, unique_by=lambda key: key.key_sha256, max_size=2),
    st.sampled_from(DocumentFormat),
)
def test_what_is_written_is_read_back(rows, keys, document_format):
    table = Table(7, tuple(rows), tuple(keys))
    text = write_document(table, document_format)
    document = read_document(text, document_format).unwrap()
    assert document.base_version == 7
    contents = read_table_draft(document.draft).unwrap()
    assert list(contents.rows.values()) == rows
    if document_format is DocumentFormat.TOML:
        assert document.draft.keys == tuple(keys)
    else:
        assert document.draft.keys is None


@pytest.mark.parametrize(
    ("text", "places"),
    [
        ("rows = 1", ["rows"]),
        ("[[rows", ["document"]),
        ("version = true\n[other]\n", ["other", "version"]),
        ("[[keys]]\ntenant = 'a'\nsurplus = 1\n", ["keys[0].surplus", "keys[0]"]),
    ],
)
def test_findings_of_toml(text, places):
    findings = read_document(text, DocumentFormat.TOML).unwrap_err()
    assert [finding.place for finding in findings] == places


@pytest.mark.parametrize(
    ("text", "places"),
    [
        ("", ["document"]),
        (
            "tenant,colour,tenant\n",
            ["header.colour"] + ["header.tenant"] * 1 + ["header.service"],
        ),
        ("service,share\nguide,x\n,y\n", ["rows[guide].share", "rows[1].share"]),
        ("service\nguide,1\n", ["rows[0]"]),
    ],
)
def test_findings_of_csv(text, places):
    findings = read_document(text, DocumentFormat.CSV).unwrap_err()
    assert [finding.place for finding in findings] == places


def test_csv_of_a_spreadsheet_with_a_mark_blanks_and_quotes():
    text = '\ufeff# version = 3\r\n\r\nservice, tenant ,pool,share\r\n"guide", a,b,\r\n'
    document = read_document(text, DocumentFormat.CSV).unwrap()
    assert document.base_version == 3
    assert document.draft.rows == ({"service": "guide", "tenant": "a", "pool": "b"},)
