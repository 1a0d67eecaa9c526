"""The `notcharch` command line."""
