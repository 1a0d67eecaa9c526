"""Random lives of the memory for uploads."""
