"""The life of the way to one peer: when it is dialled, and when to try again."""

from typing import Protocol

from automat import TypeMachineBuilder


class DialState(Protocol):
    """The inputs of the machine."""

    def want(self) -> None:
        """Ask for a connection, because something waits to be sent."""

    def establish(self) -> None:
        """Note that a connection, dialled by either side, passed its handshake."""

    def fail(self) -> None:
        """Note that dialling or its handshake failed."""

    def lose(self) -> None:
        """Note that the last established connection ended."""

    def end_delay(self) -> None:
        """Note that the delay is over."""

    def change_address(self) -> None:
        """Note that the peer has another address: the delay is pointless."""


class DialActions:
    """What the machine does; the link of the peer implements it."""

    def dial(self) -> None:
        """Begin to connect."""
        raise NotImplementedError

    def fail_waiting(self) -> None:
        """Fail what waits; none of it was written."""
        raise NotImplementedError

    def begin_delay(self) -> None:
        """Call `end_delay` after a jittered delay that grows with each failure."""
        raise NotImplementedError

    def cancel_delay(self) -> None:
        """Drop the running delay."""
        raise NotImplementedError

    def flush(self) -> None:
        """Send what waits."""
        raise NotImplementedError


_builder = TypeMachineBuilder(DialState, DialActions)
_idle = _builder.state("idle")
_dialing = _builder.state("dialing")
_connected = _builder.state("connected")
_pausing = _builder.state("pausing")
_refused = _builder.state("refused")


@_idle.upon(DialState.want).to(_dialing)
@_pausing.upon(DialState.end_delay).to(_dialing)
def _dial(state: DialState, actions: DialActions) -> None:
    actions.dial()


@_idle.upon(DialState.establish).to(_connected)
@_dialing.upon(DialState.establish).to(_connected)
@_connected.upon(DialState.establish).loop()
@_connected.upon(DialState.want).loop()
def _flush(state: DialState, actions: DialActions) -> None:
    actions.flush()


@_pausing.upon(DialState.establish).to(_connected)
@_refused.upon(DialState.establish).to(_connected)
def _flush_early(state: DialState, actions: DialActions) -> None:
    actions.cancel_delay()
    actions.flush()


@_dialing.upon(DialState.fail).to(_refused)
def _fail_and_delay(state: DialState, actions: DialActions) -> None:
    actions.fail_waiting()
    actions.begin_delay()


@_refused.upon(DialState.want).loop()
def _fail_at_once(state: DialState, actions: DialActions) -> None:
    actions.fail_waiting()


@_connected.upon(DialState.lose).to(_pausing)
def _delay(state: DialState, actions: DialActions) -> None:
    actions.begin_delay()


@_refused.upon(DialState.change_address).to(_idle)
def _forget_delay(state: DialState, actions: DialActions) -> None:
    actions.cancel_delay()


_refused.upon(DialState.end_delay).to(_idle).returns(None)
_dialing.upon(DialState.want).loop().returns(None)
_pausing.upon(DialState.want).loop().returns(None)
for _state in (_idle, _dialing, _connected, _pausing):
    _state.upon(DialState.change_address).loop().returns(None)
for _state in (_idle, _connected, _pausing, _refused):
    _state.upon(DialState.fail).loop().returns(None)
for _state in (_idle, _dialing, _pausing, _refused):
    _state.upon(DialState.lose).loop().returns(None)
for _state in (_idle, _dialing, _connected):
    _state.upon(DialState.end_delay).loop().returns(None)

new_dial_state = _builder.build()
"""Makes the machine of one peer, given its actions; it begins idle."""
