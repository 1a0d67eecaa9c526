"""The combinations of Twisted's interfaces that this package needs."""

from twisted.internet.interfaces import (
    IConsumer,
    IPushProducer,
    IReactorTCP,
    IReactorTime,
    ITCPTransport,
)


class TimedReactor(IReactorTCP, IReactorTime):
    """A reactor with TCP connections and timers."""


class FlowControlledTransport(ITCPTransport, IConsumer, IPushProducer):
    """A TCP transport that can stop reading, and tells when it has sent everything."""
