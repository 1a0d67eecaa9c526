"""The operators' table: rows, checks, publication, merging, and its replica."""
