"""Pages that are written from the journal of the users' bench, and from nothing else."""
