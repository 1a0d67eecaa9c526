"""SWIM membership protocol among the daemons of one region."""
