"""Who a caller is, by its API key, and how much its tenant may ask for."""
