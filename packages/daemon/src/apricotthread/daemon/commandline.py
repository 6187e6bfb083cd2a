"""The command line of the node daemon."""

import asyncio
import os
import sys

import defopt

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.base import settings as node_settings
from apricotthread.daemon import status


SETTINGS_VARIABLE = 'APRICOTTHREAD_NODE_FILE'


def run_node(*, settings: str = '', check: bool = False) -> status.ExitStatus:
    """Run one node until it receives SIGTERM.

    Example: apricotthread-node --settings a1.ini

    :param settings: the INI file with the settings of the node; by default
        the file named by the environment variable APRICOTTHREAD_NODE_FILE
    :param check: check the settings only, without starting the node
    """
    settings = settings or os.environ.get(SETTINGS_VARIABLE, '')
    if not settings:
        print(
            'apricotthread-node: usage: give --settings FILE, or set '
            f'{SETTINGS_VARIABLE}',
            file=sys.stderr,
        )
        return status.ExitStatus.USAGE
    try:
        checked = node_settings.read_settings(settings)
    except node_settings.SettingsError as error:
        print(error.message, file=sys.stderr)
        return status.ExitStatus.SETTINGS
    if check:
        print(f'{settings}: all settings are valid')
        return status.ExitStatus.SUCCESS
    env = environment.make_environment()
    try:
        if checked.discovery is not None:
            # Each kind of node imports only what it needs. A fast start
            # shortens the outage of a restart, and memory is limited.
            from apricotthread.daemon import fleetmain

            fleetmain.run(checked, settings, env)
        else:
            logs.open_log(checked.log_file)
            asyncio.run(_run(checked, env))
    except (errors.ApricotError, OSError, ExceptionGroup) as error:
        return _report_error(error)
    return status.ExitStatus.SUCCESS


async def _run(
    settings: node_settings.Settings, env: environment.Environment
) -> None:
    from apricotthread.daemon import node

    await node.Node(settings=settings, env=env).run()


def _report_error(error: Exception) -> status.ExitStatus:
    """Print why the node stopped, and return its exit status.

    Exceptions of any other type are bugs; they are raised again so that
    their traceback is printed.
    """
    match error:
        case ExceptionGroup(exceptions=exceptions):
            return max(_report_error(inner) for inner in exceptions)
        case errors.ApricotError(code=code, message=message):
            print(f'apricotthread-node: {message}', file=sys.stderr)
            if code is errors.ErrorCode.DAMAGED:
                return status.ExitStatus.DAMAGED_DATA
            return status.ExitStatus.FAILURE
        case OSError():
            print(f'apricotthread-node: {error}', file=sys.stderr)
            return status.ExitStatus.FAILURE
    raise error


def main() -> None:
    """Run the daemon and exit the process with its status."""
    try:
        result = defopt.run(run_node)
    except SystemExit as error:
        # The parser has already printed its help or the usage error.
        result = status.ExitStatus.USAGE if error.code else error.code
    sys.exit(result)


if __name__ == '__main__':
    main()
