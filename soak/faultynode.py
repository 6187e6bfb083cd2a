"""A test build of the node, with injected faults of the disk and the clock.

It runs like the node, and reads its present faults from one more file.
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
# A torn write hangs for so long that the process is killed before it ends.
TORN_WRITE_HANG_S = 3600.0


class FaultFile:
    """The JSON file into which the soak test writes the present faults."""

    def __init__(self, *, path: str) -> None:
        self._path = pathlib.Path(path)

    def read(self) -> dict:
        """Return the faults; none if the file is missing or does not parse."""
        try:
            return json.loads(self._path.read_text())
        except (FileNotFoundError, json.JSONDecodeError):
            return {}


class FaultyFolder(folders.DiskFolder):
    """A disk that is slow or full, fails, or tears a write.

    A torn write stores half of its data or nothing, and hangs until the
    process is killed; what was not synced is lost.
    """

    def __init__(
        self, *, path: str, timer: timers.TimerService, faults: FaultFile
    ) -> None:
        super().__init__(path=path, timer=timer)
        self._faults = faults

    def _write_at(self, name: str, offset: int, data: bytes) -> None:
        if self._inject_fault():
            super()._write_at(name, offset, data[: len(data) // 2])
            time.sleep(TORN_WRITE_HANG_S)
        super()._write_at(name, offset, data)

    def _replace(self, name: str, data: bytes) -> None:
        if self._inject_fault():
            time.sleep(TORN_WRITE_HANG_S)
        super()._replace(name, data)

    def _inject_fault(self) -> bool:
        """Inject the present fault; return whether the write is to be torn.

        Raises OSError when the fault is 'full', 'slow_and_full' or 'fails'.
        """
        match self._faults.read().get('disk'):
            case 'slow':
                time.sleep(SLOW_SYNC_S)
            case 'full' | 'slow_and_full' as fault:
                if fault == 'slow_and_full':
                    time.sleep(SLOW_SYNC_S)
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            case 'fails':
                raise OSError(errno.EIO, os.strerror(errno.EIO))
            case 'tears':
                return True
        return False


class SteppedTimer(timers.BootTimerService):
    """A timer service whose time of day is wrong by the injected step."""

    def __init__(self, *, faults: FaultFile) -> None:
        self._faults = faults

    def wall_time(self) -> float:
        """Return the time of day plus the injected step, in seconds."""
        return time.time() + self._faults.read().get('clock_step_s', 0.0)


def run_node(*, settings: str, faults: str) -> None:
    """Run a node until SIGTERM.

    :param settings: the INI file of the node
    :param faults: the JSON file with the present faults
    """
    fault_file = FaultFile(path=faults)
    env = environment.Environment(
        timer=SteppedTimer(faults=fault_file),
        random=random.SystemRandom(),
        metrics=metrics.Metrics(),
    )

    def open_folder(path, *, timer) -> folders.Folder:
        if not path:
            return folders.NoFolder()
        return FaultyFolder(path=path, timer=timer, faults=fault_file)

    parsed_settings = node_settings.read_settings(settings)
    fleetmain.run(parsed_settings, settings, env, open_folder)


def main() -> None:
    """Run the command line of the test build."""
    defopt.run(run_node)
