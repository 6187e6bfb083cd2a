"""A test build of the node, whose disk and time of day can fail.

Run as the node is, with one more file that says what fails at present.
"""

import errno
import json
import os
import pathlib
import random
import time

import defopt

from apricotthread.base import environment
from apricotthread.base import metrics
from apricotthread.base import settings as node_settings
from apricotthread.base import timers
from apricotthread.control import folders
from apricotthread.daemon import fleetmain

SLOW_SYNC_S = 0.3
TORN_FOR_S = 3600.0  # until the process is killed


class FaultFile:
    """What fails at present, as the soak wrote it last."""

    def __init__(self, *, path: str) -> None:
        self._path = pathlib.Path(path)

    def read(self) -> dict:
        """Return the faults; without a file there are none."""
        try:
            return json.loads(self._path.read_text())
        except (FileNotFoundError, json.JSONDecodeError):
            return {}


class FaultyFolder(folders.DiskFolder):
    """A disk that is slow, full, fails, or loses what was not synced."""

    def __init__(
        self, *, path: str, timer: timers.TimerService, faults: FaultFile
    ) -> None:
        super().__init__(path=path, timer=timer)
        self._faults = faults

    def _write_at(self, name: str, offset: int, data: bytes) -> None:
        if self._disturb():
            super()._write_at(name, offset, data[: len(data) // 2])
            time.sleep(TORN_FOR_S)
        super()._write_at(name, offset, data)

    def _replace(self, name: str, data: bytes) -> None:
        if self._disturb():
            time.sleep(TORN_FOR_S)
        super()._replace(name, data)

    def _disturb(self) -> bool:
        """Fail or wait as told; return whether a write is torn."""
        match self._faults.read().get('disk'):
            case 'slow':
                time.sleep(SLOW_SYNC_S)
            case 'full':
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            case 'fails':
                raise OSError(errno.EIO, os.strerror(errno.EIO))
            case 'tears':
                return True
        return False


class SteppedTimer(timers.BootTimerService):
    """A time of day that was set wrong by some seconds."""

    def __init__(self, *, faults: FaultFile) -> None:
        self._faults = faults

    def wall_time(self) -> float:
        """Return the time of day, with the step."""
        return time.time() + self._faults.read().get('clock_step_s', 0.0)


def run_node(*, settings: str, faults: str) -> None:
    """Run a node until SIGTERM.

    :param settings: the INI file of the node
    :param faults: the JSON file that says what fails
    """
    known = FaultFile(path=faults)
    env = environment.Environment(
        timer=SteppedTimer(faults=known),
        random=random.SystemRandom(),
        metrics=metrics.Metrics(),
    )

    def open_folder(path, *, timer) -> folders.Folder:
        if not path:
            return folders.NoFolder()
        return FaultyFolder(path=path, timer=timer, faults=known)

    checked = node_settings.read_settings(settings)
    fleetmain.run(checked, settings, env, open_folder)


if __name__ == '__main__':
    defopt.run(run_node)
