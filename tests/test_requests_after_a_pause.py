"""Requests that an entry reads after it stood still."""

import asyncio
import types

import pytest

from apricotthread.base import pauses
from apricotthread.fakes import virtualclock
from apricotthread.gateway import application
from apricotthread.platform import callers
from apricotthread.platform import configs
from tests import test_platform

PAUSE_S = 6.0


@pytest.fixture
def play(env):
    """Return a function that sends a call, and returns how many went on.

    The process stands still for `pause_s` before it reads the call, and the
    caller leaves at the same time unless it `waits`.
    """

    def run(*, pause_s, waits):
        forwarded = []

        async def forward(request, sink, request_trace):
            forwarded.append(request)
            await sink.start(200, [])
            await sink.end()

        async def main():
            detector = pauses.PauseDetector(env=env)
            watching = asyncio.create_task(detector.run())
            gateway = application.GatewayApplication(
                env=env,
                fleet=types.SimpleNamespace(applied_index=1),
                dialect=callers.PlatformDialect(),
                forward=types.SimpleNamespace(forward=forward),
                pause_detector=detector,
            )
            gateway.set_table(
                configs.read_config(test_platform.encode(test_platform.CONFIG))
            )
            await env.timer.sleep(1.0)
            asyncio.get_running_loop().pause_process(pause_s)
            messages = asyncio.Queue()
            messages.put_nowait({'type': 'http.request', 'body': b'x'})
            if not waits:
                messages.put_nowait({'type': 'http.disconnect'})

            async def send(message):
                pass

            await gateway(
                {
                    'type': 'http',
                    'method': 'POST',
                    'raw_path': b'/bids/1',
                    'query_string': b'',
                    'headers': [
                        (b'host', b'a.example'),
                        (b'x-api-key', b'k1'),
                        (b'attempt-id', b'b-1'),
                    ],
                },
                messages.get,
                send,
            )
            watching.cancel()

        virtualclock.run(main())
        return len(forwarded)

    return run


def test_a_call_whose_caller_left_during_a_pause_is_not_sent(play):
    """Guards against bids that are placed long after they were given up."""
    assert play(pause_s=PAUSE_S, waits=False) == 0


def test_a_call_whose_caller_waits_is_sent_after_a_pause(play):
    assert play(pause_s=PAUSE_S, waits=True) == 1


def test_a_call_is_sent_at_once_without_a_pause(play):
    assert play(pause_s=0.0, waits=True) == 1
