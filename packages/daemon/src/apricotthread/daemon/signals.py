"""Defers signals until a node can handle them."""

import collections.abc
import signal
import typing

if typing.TYPE_CHECKING:
    # Not imported at run time: it takes longer than the interpreter's start.
    import asyncio

HANDLED = frozenset({signal.SIGHUP, signal.SIGINT, signal.SIGTERM})


def defer() -> None:
    """Keep signals pending, so that none ends a process that is starting."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def handle(
    loop: 'asyncio.AbstractEventLoop',
    *,
    stop: collections.abc.Callable[[], None],
    reload: collections.abc.Callable[[], None],
) -> None:
    """Install the handlers of a node, then deliver the deferred signals."""
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
