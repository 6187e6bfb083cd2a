"""Child processes that end with their owner."""

import asyncio
import contextlib
import os
import select
import signal
import typing

END_TIMEOUT_MS = 10_000


class ChildProcesses:
    """Starts processes, and kills on exit those that still run.

    A context manager. It knows processes by file descriptors, so it never
    signals another process to which the system has given the same id.
    """

    def __init__(self) -> None:
        self._descriptors: list[int] = []

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.end_all()

    async def start(
        self, *command: str, **options: typing.Any
    ) -> asyncio.subprocess.Process:
        """Start a process, as asyncio.create_subprocess_exec does."""
        process = await asyncio.create_subprocess_exec(*command, **options)
        # A process that has been waited for has no id any more.
        with contextlib.suppress(ProcessLookupError):
            self._descriptors.append(os.pidfd_open(process.pid))
        return process

    def end_all(self) -> None:
        """Kill all processes that still run, and wait until they ended."""
        for descriptor in self._descriptors:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(descriptor, signal.SIGKILL)
        while self._descriptors:
            descriptor = self._descriptors.pop()
            poll = select.poll()
            poll.register(descriptor, select.POLLIN)
            poll.poll(END_TIMEOUT_MS)
            os.close(descriptor)
