"""Identifies a caller's tenant by its API key, and limits the tenant's calls."""
