"""Starts the node daemon, with signals deferred from the first line on.

The rest of the daemon is imported afterwards, as its imports take most of
the time until a node can handle signals.
"""

from apricotthread.daemon import signals


def main() -> None:
    """Run the daemon and exit the process with its status."""
    signals.defer()
    from apricotthread.daemon import commandline

    commandline.main()


if __name__ == '__main__':
    main()
