"""SWIM membership of the daemons of one region."""
