"""Fixtures and the Hypothesis profile of all tests."""

import gc

import hypothesis
import pytest

from apricotthread.fakes import childprocesses
from apricotthread.fakes import virtualclock

hypothesis.settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile('fixed')


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport():
    """Keep the collector from running while a failure is shown.

    Python 3.11 raises SystemError if a destructor that it runs parses code
    within another parse, as formatting the traceback of its error does. That
    would end pytest, with the other tests of its worker.
    """
    gc.disable()
    try:
        return (yield)
    finally:
        gc.enable()


@pytest.fixture
def env():
    """Return an environment with a virtual clock and seeded randomness."""
    return virtualclock.make_environment()


@pytest.fixture
def children():
    """Return the owner of the processes that a test starts."""
    with childprocesses.ChildProcesses() as owner:
        yield owner
