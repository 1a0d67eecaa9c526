"""What the relay of one answer costs a gateway, by the answer's tokens.

    python -m experiments.capacity.relay_cost

The engine, the relay and the load are processes of their own; only the relay's own
processor time counts. A row is the mean of the answers of one run of `--streams`
streams; runs of all lengths are repeated in turn.
"""

import argparse

from experiments.relay_benchmark import RelayLoad, measure

TOKENS = (25, 50, 100, 200)
STREAMS = 100
ROUNDS = 2
GATEWAY = "gateway"


def main() -> int:
    """Print the table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print("| tokens | answers | core µs | wrong answers |\n|---|---|---|---|")
    for _ in range(ROUNDS):
        for tokens in TOKENS:
            cost = measure(GATEWAY, RelayLoad(streams=STREAMS, tokens=tokens))
            answer = cost.microseconds_per_call + cost.microseconds_per_token * (
                tokens - 1
            )
            print(f"| {tokens} | {STREAMS} | {answer:.0f} | {cost.wrong_answers} |")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
