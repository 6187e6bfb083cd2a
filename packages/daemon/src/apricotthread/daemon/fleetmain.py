"""Runs a fleet node on the uvloop event loop."""

import logging

import uvloop

from apricotthread.base import environment
from apricotthread.base import logs
from apricotthread.base import settings as node_settings
from apricotthread.control import folders
from apricotthread.daemon import fleetnode


def run(
    settings: node_settings.Settings,
    path: str,
    env: environment.Environment,
    open_folder: fleetnode.FolderOpener = folders.open_folder,
) -> None:
    """Run a node until it has stopped after SIGTERM.

    `path` is the path of the settings file, which is read again on changes.
    """
    # uvicorn would print a traceback for each answer that is cut off. The
    # gateway logs a line of its own for these answers.
    logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL + 1)
    writer = logs.open_bounded_log(
        lines_per_s=settings.discovery.log_lines_per_s
    )
    node = fleetnode.FleetNode(
        settings=settings,
        settings_path=path,
        env=env,
        log_writer=writer,
        open_folder=open_folder,
    )
    try:
        uvloop.run(node.run())
    finally:
        writer.flush()
