"""The accounts of programs: token budgets and kept turns, on a partitioned journal."""
