"""Ports to the outside systems, and the clients that implement them."""
