"""Unit tests of the stand-ins."""
