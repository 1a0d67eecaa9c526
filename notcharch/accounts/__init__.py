"""Accounts of programs: token budgets and stored turns, on a partitioned journal."""
