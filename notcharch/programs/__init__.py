"""Programs: order of calls, history, budgets, at-most-once records."""
