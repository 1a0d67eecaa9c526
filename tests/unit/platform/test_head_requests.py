"""A request with HEAD is answered as others are, without the body of the answer."""

import re
import signal
import socket

import pytest

from notcharch.events.process import ProcessStarted
from tests.unit.platform.test_processes_and_signals import (
    HOST,
    RUN_LINES,
    daemon,
    settings_text,
)

REQUESTS = 60
"""Each left 2 KB on stderr; a pipe that nobody reads holds 64 KB."""
TIMEOUT_SECONDS = 5.0


def ask(port: int, method: str) -> bytes:
    with socket.create_connection((HOST, port), TIMEOUT_SECONDS) as connection:
        connection.sendall(f"{method} /x HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        return connection.recv(100)


@pytest.mark.parametrize("listens", ["front", "readiness"])
def test_many_head_requests_do_not_block_a_daemon_whose_stderr_nobody_reads(
    tmp_path, listens
):
    text = settings_text()
    port = int(re.search(rf"listen_addresses\.{listens}=.*:(\d+)", text)[1])
    with daemon(tmp_path, RUN_LINES["the platform's"], text) as running:
        running.wait_for(ProcessStarted)
        answers = []
        for _ in range(REQUESTS):
            answers.append(ask(port, "HEAD"))
        assert all(answer.startswith(b"HTTP/1.1 503") for answer in answers)
        assert ask(port, "GET").startswith(b"HTTP/1.1 503")
        running.send(signal.SIGTERM)
        assert running.end() == 0
