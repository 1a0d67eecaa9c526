"""Counts the engines that end under a request, and refuses it after too many."""
