"""Engine stewards: queues, grants, load, cached prefixes, release, drain."""
