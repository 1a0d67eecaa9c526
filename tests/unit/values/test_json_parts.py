"""Splitting JSON into parts agrees with decoding it, and survives what can't be decoded."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from notcharch.values.json_parts import split_array, split_object

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
OBJECTS = st.dictionaries(st.text(), VALUES)


def texts(value, *, ascii_only: bool, indent: int | None) -> bytes:
    written = json.dumps(value, ensure_ascii=ascii_only, indent=indent)
    return written.encode(errors="surrogatepass")


@given(OBJECTS, st.booleans(), st.sampled_from([None, 1]))
def test_the_members_of_an_object_are_those_that_a_decoder_finds(
    value, ascii_only, indent
):
    parts = split_object(texts(value, ascii_only=ascii_only, indent=indent))
    assert {name: json.loads(text) for name, text in parts.members.items()} == value
    assert parts.is_whole


@given(st.lists(VALUES))
def test_the_elements_of_an_array_are_those_that_a_decoder_finds(value):
    parts = split_array(texts(value, ascii_only=True, indent=None))
    assert [json.loads(text) for text in parts.elements] == value
    assert parts.is_whole


@given(OBJECTS, st.data())
def test_a_cut_object_has_only_whole_members(value, data):
    text = texts(value, ascii_only=True, indent=None)
    cut = data.draw(st.integers(0, len(text) - 1))
    parts = split_object(text[:cut])
    assert not parts.is_whole
    for name, member in parts.members.items():
        assert json.loads(member) == value[name]


@given(st.binary())
def test_any_bytes_are_split_without_an_exception(text):
    split_object(text)
    split_array(text)


@pytest.mark.parametrize("pair", [b"[]", b"{}"])
def test_deep_nesting_costs_its_own_member_alone(pair):
    deep = pair[:1] * 60_000 + pair[1:] * 60_000
    members = split_object(b'{"a":1,"x":' + deep + b',"b":"]}"}').members
    assert members == {"a": b"1", "x": deep, "b": b'"]}"'}


@pytest.mark.parametrize("text", [b"", b"null", b"[]", b'x{"a":1}', b'{"a":1} x'])
def test_other_texts_are_no_whole_objects(text):
    assert not split_object(text).is_whole
