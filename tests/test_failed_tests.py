"""Tests of real processes leave none behind when they fail."""

import os
import pathlib

import pytest

pytest_plugins = ['pytester']

ROOT = pathlib.Path(__file__).parents[1]
# Plugins that let the tests of a file fail once their nodes run, and the
# tests to run with each.
TIMED_OUT_SIGNALS = """
from tests import test_signals

test_signals.START_TIMEOUT_S = 0.0
"""
TIMED_OUT_SITE = """
from apricotthread.fakes import localsystem

localsystem.READY_TIMEOUT_S = 0.0
"""
FAILING_DEPLOYMENT = """
from tests import platformstandin


async def fail(*arguments, **options):
    raise RuntimeError


platformstandin.Deployment.call_control = fail
platformstandin.Deployment.close = fail
"""
FAILING_SOAK = """
from soak import deployment
from soak import play


async def fail(*arguments, **options):
    raise RuntimeError


play.START_TIMEOUT_S = 0.0
deployment.Deployment.close = fail
"""
# Garbage that is collected again and again, with an error each time.
FAILING_GARBAGE = """
import gc


class Garbage:
    count = 0

    def __init__(self):
        self.cycle = self

    def __del__(self):
        Garbage.count += 1
        if Garbage.count < 300:
            Garbage()
        raise RuntimeError


def test_fails():
    gc.set_threshold(100)
    Garbage()
    assert not gc
"""
SELECTION_BY_PLUGIN = {
    TIMED_OUT_SIGNALS: ('test_signals.py', 'control or first_line'),
    TIMED_OUT_SITE: ('test_system.py', 'disconnects'),
    FAILING_DEPLOYMENT: ('test_fleet_system.py', 'passed_through_whole'),
    FAILING_SOAK: ('test_soak_run.py', 'short_storm'),
}


def find_processes(folder):
    """Return the ids of processes that name the folder in their command."""
    pids = []
    for path in pathlib.Path('/proc').glob('[0-9]*/cmdline'):
        try:
            command = path.read_bytes()
        except (FileNotFoundError, ProcessLookupError):
            continue
        if os.fsencode(folder) in command:
            pids.append(int(path.parent.name))
    return pids


@pytest.mark.parametrize(
    ('plugin', 'selection'),
    SELECTION_BY_PLUGIN.items(),
    ids=[file for file, _ in SELECTION_BY_PLUGIN.values()],
)
def test_a_failed_test_leaves_no_process(
    plugin, selection, pytester, monkeypatch
):
    file, expression = selection
    pytester.makepyfile(failing_plugin=plugin)
    monkeypatch.setenv(
        'PYTHONPATH', f'{pytester.path}{os.pathsep}{ROOT}', prepend=os.pathsep
    )
    folder = pytester.path / 'nodes'
    result = pytester.runpytest_subprocess(
        '-p',
        'failing_plugin',
        f'--rootdir={ROOT}',
        f'--basetemp={folder}',
        '-k',
        expression,
        f'{ROOT}/tests/{file}',
    )
    outcomes = result.parseoutcomes()
    assert set(outcomes) & {'failed', 'errors', 'error'}
    assert 'passed' not in outcomes
    # Each node leaves its settings and the file of its output.
    assert list(folder.rglob('*.ini'))
    assert find_processes(folder) == []


def test_garbage_does_not_end_pytest_as_it_shows_a_failure(
    pytester, monkeypatch
):
    monkeypatch.setenv('PYTHONPATH', str(ROOT), prepend=os.pathsep)
    pytester.makepyfile(test_garbage=FAILING_GARBAGE)
    result = pytester.runpytest_subprocess('-p', 'tests.conftest')
    assert result.parseoutcomes()['failed'] == 1
