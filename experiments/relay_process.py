"""The relay process of the relay benchmark; arguments are the way and the engine."""

import sys

from experiments.relay_children import announce
from notcharch.cli.reactor import install_reactor

WAY_OF_THE_DAEMON = "gateway"


def main(way: str, engine: str) -> None:
    """Serve until the process is ended, on the reactor that the way has in use."""
    if way == WAY_OF_THE_DAEMON and not install_reactor():
        raise RuntimeError("a reactor is installed already")
    # klein installs Twisted's default reactor when it is imported.
    from twisted.internet import reactor

    from experiments.relay_ways import serve

    announce(serve(way, engine))
    reactor.run()


if __name__ == "__main__":
    main(*sys.argv[1:])
