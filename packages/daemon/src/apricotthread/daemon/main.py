"""The daemon's command line."""

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
    """Run one node until it is told to stop by SIGTERM.

    Example: apricotthread-node --settings a1.ini

    :param settings: the INI file with the node's settings; without it,
        the file that the variable APRICOTTHREAD_NODE_FILE names
    :param check: only check the settings, and start nothing
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
        print(f'{settings}: all settings are right')
        return status.ExitStatus.SUCCESS
    env = environment.make_environment()
    try:
        if checked.discovery is not None:
            # Each kind of node loads only what it needs: a short start is
            # a short outage, and memory is bounded.
            from apricotthread.daemon import fleetmain

            fleetmain.run(checked, settings, env)
        else:
            logs.open_log(checked.log_file)
            asyncio.run(_run(checked, env))
    except (errors.ApricotError, OSError, ExceptionGroup) as error:
        return _report(error)
    return status.ExitStatus.SUCCESS


async def _run(
    settings: node_settings.Settings, env: environment.Environment
) -> None:
    from apricotthread.daemon import node

    await node.Node(settings=settings, env=env).run()


def _report(error: Exception) -> status.ExitStatus:
    """Print why the node stopped, and return the status that says so.

    A fault of the program itself is raised on with its traceback.
    """
    match error:
        case ExceptionGroup(exceptions=exceptions):
            return max(_report(inner) for inner in exceptions)
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
    """Run the daemon and exit with its status."""
    try:
        result = defopt.run(run_node)
    except SystemExit as error:
        # The parser has printed help, or what was wrong, by itself.
        result = status.ExitStatus.USAGE if error.code else error.code
    sys.exit(result)


if __name__ == '__main__':
    main()
