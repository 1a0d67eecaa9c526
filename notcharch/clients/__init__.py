"""Ports to the external systems, and the clients that implement them."""
