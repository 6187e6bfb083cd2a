"""The entry point of the operators' command line."""

import sys

import defopt

from apricotthread.cli import context as contexts
from apricotthread.cli import definition
from apricotthread.cli import status


def run(arguments: list[str], context: contexts.Context) -> status.ExitStatus:
    """Parse the arguments, run the command, return the exit status."""
    commands = definition.Commands(context=context)
    try:
        return defopt.run(commands.tree(), argv=arguments)
    except SystemExit as error:
        # The parser has printed help, or what was wrong, by itself.
        return (
            status.ExitStatus.USAGE
            if error.code
            else status.ExitStatus.SUCCESS
        )


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run(sys.argv[1:], contexts.make_context()))
