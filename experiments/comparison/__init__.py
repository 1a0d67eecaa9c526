"""Many cells: running them, summing them up over seeds, page and plots."""
