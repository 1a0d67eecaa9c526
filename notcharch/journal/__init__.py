"""State that lasts, in partitions of a log that a platform keeps."""
