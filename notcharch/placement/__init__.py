"""Who is responsible for what: partitions, stewards, limiters, and the way to them."""
