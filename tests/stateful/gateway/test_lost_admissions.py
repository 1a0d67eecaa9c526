"""Admissions that the leader accepted, but whose replies the gateway never received."""

from notcharch.wire.messages.programs import AdmitCall
from tests.stateful.gateway.test_gateway_machine import NO_REPLY, GatewayMachine
from tests.unit.gateway.harness import refused, reply_dropped

REPEATABLE_CALL = (0, True, False)


def test_a_call_is_not_left_admitted_after_the_replies_to_its_admission_were_lost():
    machine = GatewayMachine()
    for fault in (refused(NO_REPLY), reply_dropped(NO_REPLY), reply_dropped(NO_REPLY)):
        machine.message_fails(message=AdmitCall, fault=fault)
    machine.call(call=REPEATABLE_CALL)
    machine.time_passes(seconds=40.0)
    machine.time_passes(seconds=0.1)
    machine.teardown()
