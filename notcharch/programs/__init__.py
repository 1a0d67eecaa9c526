"""Programs: ordered calls, history, token budgets and at-most-once execution."""
