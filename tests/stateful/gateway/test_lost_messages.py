"""Calls whose messages to the leader were not sent, or lost their replies."""

from notcharch.errors import Ran
from notcharch.wire.messages.programs import AdmitCall, DispatchCall, FinishCall
from tests.stateful.gateway.test_gateway_machine import (
    NO_REPLY,
    UNSENT,
    GatewayMachine,
)
from tests.unit.gateway.harness import refused, reply_dropped


def test_a_call_is_not_left_admitted_after_the_replies_to_its_admission_were_lost():
    machine = GatewayMachine()
    for fault in (refused(NO_REPLY), reply_dropped(NO_REPLY), reply_dropped(NO_REPLY)):
        machine.message_fails(message=AdmitCall, fault=fault)
    machine.call(call=(0, True, False))
    machine.time_passes(seconds=40.0)
    machine.time_passes(seconds=0.1)
    machine.teardown()


def test_a_call_that_ran_is_not_reported_as_not_run_after_unsent_messages():
    machine = GatewayMachine()
    machine.call_whose_engine_fails(call=(1, True, False), ran=Ran.YES, where="slots")
    for message in (AdmitCall, FinishCall, DispatchCall):
        machine.message_fails(message=message, fault=refused(UNSENT))
    machine.call(call=(1, False, False))
    machine.time_passes(seconds=0.1)
    machine.message_fails(message=DispatchCall, fault=refused(UNSENT))
    machine.message_fails(message=FinishCall, fault=refused(UNSENT))
    machine.time_passes(seconds=0.1)
    machine.message_fails(message=DispatchCall, fault=refused(UNSENT))
    machine.time_passes(seconds=0.1)
    machine.time_passes(seconds=1.0)
    machine.responses_are_true()
