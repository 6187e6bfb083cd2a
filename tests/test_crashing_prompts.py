"""Real nodes while a part of prompts crashes the engines that answer it."""

import asyncio
import io
import json
import time

import aiohttp
import pytest

from apricotthread.cli import client
from apricotthread.cli import context as contexts
from apricotthread.cli import core
from apricotthread.cli import status
from tests import crashingworker
from tests import platformstandin

CONTACT_S = 3.0  # as the users' deployments have it
GRACE_CRASHES = 5
LATE_ARRIVALS = 3
VMS = 10
PERIOD_S = 0.08


def make_context(screen=None):
    """Return the context of a run of the command line."""
    return contexts.Context(
        stdin=io.StringIO(),
        stdout=screen or io.StringIO(),
        stderr=io.StringIO(),
        operator='ana',
        default_nodes='',
    )


class Site:
    """A deployment whose model groups are single VMs that can crash."""

    def __init__(self, *, deployment, group_size):
        self.deployment = deployment
        self.group_size = group_size
        self.vms = []
        self.status_by_attempt = {}
        self.body_by_attempt = {}
        self._tasks = set()

    async def start(self):
        """Start the nodes and workers, and wait until all groups serve."""
        await self.deployment.start()
        await self.deployment.call_control(
            platformstandin.PUT_TABLE_PATH,
            platformstandin.make_config(1, group_size=self.group_size),
        )
        peer_by_name = {}
        for number in range(VMS):
            vm = crashingworker.CrashingWorker(
                controls=self.deployment.controls,
                name=f'vm-{number}',
                service='models',
                domain='d1',
                peer_by_name=peer_by_name if self.group_size > 1 else None,
            )
            peer_by_name[vm.name] = vm
            await vm.start()
            self.vms.append(vm)
            self.deployment.workers.append(vm)
        for host in self.deployment.entries:
            await self.deployment.wait_until(
                lambda host=host: self._serves(host)
            )

    async def _serves(self, host):
        heads = [
            vm for vm in self.vms if vm.place and vm.place.state == 'open'
        ]
        if len(heads) < VMS // self.group_size:
            return False
        try:
            status, _, _ = await self.deployment.request_stream(host, 'try')
        except OSError:
            return False
        return status == 200

    def send(self, attempt, parts, *, host=None):
        """Send a request whose prompt has these parts and one of its own."""
        entries = self.deployment.entries
        host = host or entries[len(self.status_by_attempt) % len(entries)]
        self.status_by_attempt[attempt] = 0
        task = asyncio.create_task(self._send(host, attempt, parts))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, host, attempt, parts):
        prompt = platformstandin.make_prompt(*parts, attempt)
        try:
            status, _, body = await self.deployment.request_stream(
                host, attempt, Prompt_Prefix=prompt
            )
        except (aiohttp.ClientError, OSError):
            status, body = -1, b''
        self.status_by_attempt[attempt] = status
        self.body_by_attempt[attempt] = body

    async def finish(self):
        """Wait for the answers to all requests."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    @property
    def crashes(self):
        """The moments of all crashes for the bad part, in order."""
        return sorted(at for vm in self.vms for at in vm.crashes)

    def arrivals(self, part, *, after=0.0):
        """Return how many requests with a part reached VMs after a moment."""
        return sum(at > after for vm in self.vms for at in vm.arrivals[part])

    def metrics_address(self, host):
        """Return the address at which an entry serves metrics."""
        return f'{host}:{self.deployment.metrics_port}'

    async def fetch_quarantine(self, host):
        """Return what an entry says of the parts that crash engines."""
        return await client.OperatorClient(
            context=make_context(), nodes=self.metrics_address(host)
        ).fetch_quarantine()

    async def has_quarantined(self, host):
        """Whether an entry keeps requests with the bad part away."""
        try:
            body = await self.fetch_quarantine(host)
        except client.UnreachableError:
            return False
        return [part.condition for part in body.parts] == ['quarantined']

    async def is_released(self, host):
        """Whether an entry lets requests with the bad part through again."""
        body = await self.fetch_quarantine(host)
        return [part.condition for part in body.parts] == ['released']

    async def run_command(self, screen, command, *arguments):
        """Run a command of the command line; return whether it succeeded."""
        try:
            result = await command(make_context(screen), *arguments)
        except client.CommandError:
            return False
        return result is status.ExitStatus.SUCCESS

    def served_share(self, prefix):
        """Return the share of the attempts with a prefix that succeeded."""
        statuses = [
            status
            for attempt, status in self.status_by_attempt.items()
            if attempt.startswith(prefix)
        ]
        return statuses.count(200) / len(statuses)


@pytest.fixture
def run_site(children, tmp_path):
    """Return a function that runs a scenario on a site that serves."""

    def run(scenario, *, group_size=1):
        async def main():
            deployment = platformstandin.Deployment(
                children=children, folder=tmp_path
            )
            try:
                site = Site(deployment=deployment, group_size=group_size)
                await site.start()
                await scenario(site)
            finally:
                await deployment.close()

        asyncio.run(main())

    return run


async def play(site, *, seconds, guilty_every=3, name=''):
    """Send sound requests, and guilty ones that share their first part."""
    deadline = time.monotonic() + seconds
    number = 0
    while time.monotonic() < deadline:
        number += 1
        if number % guilty_every == 0:
            site.send(f'{name}guilty-{number}', ('all', 'bad'))
        else:
            site.send(f'{name}sound-{number}', ('all', f'topic-{number % 4}'))
        await asyncio.sleep(PERIOD_S)


def check_guilty_are_kept_away(site):
    """Check that few guilty requests reach VMs after the fifth crash."""
    crashes = site.crashes
    fifth_at = (crashes + [time.monotonic()] * GRACE_CRASHES)[
        GRACE_CRASHES - 1
    ]
    late = site.arrivals('bad', after=fifth_at + CONTACT_S)
    assert late <= LATE_ARRIVALS, f'{late} late, {len(crashes)} crashes'


async def crash_for_other_reasons(site, *, gap_s):
    """Crash one engine after the other, whatever it is doing."""
    number = 0
    while True:
        await asyncio.sleep(gap_s)
        number += 1
        vm = site.vms[number % len(site.vms)]
        if vm.is_up:
            await vm.crash()


def test_requests_that_crash_engines_do_not_go_on_to_the_next_ones(run_site):
    async def scenario(site):
        await play(site, seconds=7.0)
        await play(site, seconds=4.0, name='late-')
        await site.finish()
        check_guilty_are_kept_away(site)
        assert site.served_share('late-sound') > 0.9

    run_site(scenario)


def test_requests_that_crash_members_do_not_go_on_to_the_next_groups(run_site):
    async def scenario(site):
        await play(site, seconds=8.0)
        await play(site, seconds=4.0, name='late-')
        await site.finish()
        check_guilty_are_kept_away(site)
        assert site.served_share('late-sound') > 0.9

    run_site(scenario, group_size=2)


def test_sound_requests_are_served_while_engines_crash_for_other_reasons(
    run_site,
):
    async def scenario(site):
        crashing = asyncio.create_task(
            crash_for_other_reasons(site, gap_s=0.6)
        )
        await play(site, seconds=8.0, guilty_every=1000)
        crashing.cancel()
        await site.finish()
        for host in site.deployment.entries:
            assert (await site.fetch_quarantine(host)).parts == []
        assert site.served_share('sound') > 0.8

    run_site(scenario)


def test_guilty_requests_are_told_from_sound_ones_beside_other_crashes(
    run_site,
):
    async def scenario(site):
        crashing = asyncio.create_task(
            crash_for_other_reasons(site, gap_s=1.5)
        )
        await play(site, seconds=8.0)
        crashing.cancel()
        await play(site, seconds=3.0, name='late-')
        await site.finish()
        check_guilty_are_kept_away(site)
        for host in site.deployment.entries:
            parts = (await site.fetch_quarantine(host)).parts
            assert [part.part for part in parts] == ['bad']
        assert site.served_share('late-sound') > 0.9

    run_site(scenario)


def test_late_entries_operators_and_callers_are_told_of_a_quarantine(run_site):
    async def scenario(site):
        await play(site, seconds=4.0)
        deployment = site.deployment
        late = '127.0.2.9'
        await deployment.start_node(late)
        await deployment.wait_until(lambda: site.has_quarantined(late))
        arrivals = site.arrivals('bad')

        status, headers, body = await deployment.request_stream(
            late, 'guilty-late', Prompt_Prefix='all:1,bad:1,own:1'
        )
        refusal = json.loads(body)
        assert (status, refusal['code'], refusal['ran']) == (
            503,
            'prompt_quarantined',
            'no',
        )
        assert float(headers['Retry-After']) > 60.0
        assert site.arrivals('bad') == arrivals

        screen = io.StringIO()
        assert await site.run_command(
            screen, core.show_quarantine, site.metrics_address(late), False
        )
        assert 'bad' in screen.getvalue()
        assert await site.run_command(
            screen, core.release_part, site.metrics_address(late), 'bad'
        )
        for host in deployment.entries:
            await deployment.wait_until(
                lambda host=host: site.is_released(host), within_s=3.0
            )
        assert not await site.run_command(
            screen, core.release_part, site.metrics_address(late), 'unknown'
        )
        await site.finish()
        await asyncio.sleep(0.5)
        logs = sorted(str(path) for path in deployment.folder.glob('*.log'))
        assert await site.run_command(
            screen, core.explain_request, 'guilty-late', logs
        )
        story = screen.getvalue()
        for event in (
            'endpoint_crashed',
            'prompt_part_quarantined',
            'quarantined',
            'refused_prompt_quarantined',
        ):
            assert event in story

    run_site(scenario)
