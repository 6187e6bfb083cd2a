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

    The parser wants all cells in one run; operators type options in
    between.
    """
    names = []
    options = []
    rest = iter(arguments)
    for argument in rest:
        if not argument.startswith('-') or argument == '-':
            names.append(argument)
            continue
        options.append(argument)
        if argument in VALUE_OPTIONS:
            options.extend(value for value in [next(rest, None)] if value)
    return names + options


def run(arguments: list[str], context: contexts.Context) -> status.ExitStatus:
    """Parse the arguments, run the command, return the exit status."""
    commands = definition.Commands(context=context)
    try:
        return defopt.run(commands.tree(), argv=move_options_last(arguments))
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
