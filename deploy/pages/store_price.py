"""What records that are written again cost the store, for docs/CAPACITY.md."""

import tomllib
from pathlib import Path

import msgspec

PRICES = Path(__file__).parent / "store_price.toml"
HEAD = """
## The price of a short history

Appends and bytes a second of accounts and kept turns, on a quiet virtual day of 12 daemons
with 48 partitions, 10.7 plain and 4.42 kept programs a second, once the log drops records
(`python -m tests.stateful.accounts.store_price`; not from the bench's journal). With 20 s of
history all that counts is written again each 2.3 s. Bytes grow with the turns that are kept:
at 20 s thirteen times as many would fill the 400 MB that the store keeps in all.

| history, s | code | appends a second | bytes a second |
|---|---|---|---|
"""


class StorePrice(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run."""

    retention_seconds: float
    code: str
    """Commit of the sources that ran."""
    appends: float
    bytes: int


def read_prices() -> list[StorePrice]:
    """Read the runs."""
    tables = tomllib.loads(PRICES.read_text())["price"]
    return msgspec.convert(tables, list[StorePrice])


def price_table(prices: list[StorePrice]) -> str:
    """Give the section."""
    rows = (
        f"| {price.retention_seconds:g} | {price.code} | {price.appends:.2f} | "
        f"{price.bytes:,} |\n"
        for price in prices
    )
    return HEAD + "".join(rows)
