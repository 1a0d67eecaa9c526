"""Messages between daemons, their codec, and the connections that carry them."""
