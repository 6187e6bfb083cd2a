"""The entry point of the operators' command line."""

import sys

import defopt

from apricotthread.cli import context as contexts
from apricotthread.cli import definition
from apricotthread.cli import status


VALUE_OPTIONS = frozenset(
    {
        '-n',
        '--nodes',
        '-c',
        '--command-id',
        '-b',
        '--base',
        '-r',
        '--row',
        '--by',
        '-s',
        '--since',
    }
)


def move_options_last(arguments: list[str]) -> list[str]:
    """Return the arguments with options and their values at the end.

    argparse accepts a list of positional arguments only if they follow
    each other, but operators type options between them.
    """
    positionals = []
    options = []
    remaining = iter(arguments)
    for argument in remaining:
        if not argument.startswith('-') or argument == '-':
            positionals.append(argument)
            continue
        options.append(argument)
        if argument in VALUE_OPTIONS:
            options.extend(value for value in [next(remaining, None)] if value)
    return positionals + options


def run(arguments: list[str], context: contexts.Context) -> status.ExitStatus:
    """Parse the arguments, run the command and return the exit status."""
    commands = definition.Commands(context=context)
    try:
        return defopt.run(commands.tree(), argv=move_options_last(arguments))
    except SystemExit as error:
        # argparse has already printed the help or the usage error.
        return (
            status.ExitStatus.USAGE
            if error.code
            else status.ExitStatus.SUCCESS
        )


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run(sys.argv[1:], contexts.make_context()))
