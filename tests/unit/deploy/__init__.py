"""Tests of what lies beside the deploy file."""
