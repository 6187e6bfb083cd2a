"""Starts three nodes and their endpoints, and serves real requests."""

import argparse
import asyncio
import pathlib
import sys

from apricotthread.fakes import childprocesses
from demo import scenario


def main() -> None:
    """Run the demonstration; exit non-zero if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog='demo', description=__doc__)
    parser.add_argument(
        '--keep-running',
        action='store_true',
        help='leave the system running until interrupted',
    )
    parser.add_argument('--folder', default='.demo', type=pathlib.Path)
    arguments = parser.parse_args()
    play = scenario.keep_running if arguments.keep_running else scenario.run
    try:
        with childprocesses.ChildProcesses() as children:
            sys.exit(asyncio.run(play(children, arguments.folder)))
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == '__main__':
    main()
