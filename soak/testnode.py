"""Starts the test build of the node as the daemon starts.

Signals are deferred from the first line on, by the node itself.
"""

from apricotthread.daemon import signals


def main() -> None:
    """Run the test build of the node."""
    signals.defer()
    from soak import faultynode

    faultynode.main()


if __name__ == '__main__':
    main()
