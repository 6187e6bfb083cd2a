"""HTTP client for the operator ports of nodes."""

import asyncio
import dataclasses
import urllib.parse

import aiohttp
import msgspec

from apricotthread.base import errors
from apricotthread.cli import context as contexts
from apricotthread.operators import bodies

REQUEST_TIMEOUT_S = 12.0
POLL_S = 0.2


class UnreachableError(Exception):
    """No node answered; it is not known whether a command arrived."""

    def __init__(self, *, failures: list[str], command_id: str) -> None:
        super().__init__('; '.join(failures) or 'no address was given')
        self.command_id = command_id


class CommandError(Exception):
    """A node refused a request or could not carry it out."""

    def __init__(self, *, body: bodies.ErrorBody) -> None:
        super().__init__(body.message)
        self.body = body


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForceStatus:
    """The ids of the nodes that confirmed a version and of the others."""

    confirmed: list[str]
    unconfirmed: list[str]


class OperatorClient:
    """Sends each request to the first node that answers."""

    def __init__(self, *, context: contexts.Context, nodes: str) -> None:
        self._addresses = [
            node_address.strip()
            for node_address in (nodes or context.default_nodes).split(',')
            if node_address.strip()
        ]

    async def _request(self, method: str, path: str, body, body_type):
        """Send a request to each node in turn until one answers.

        This may send a command twice, which is safe: the system carries out
        each command id only once. Raises UnreachableError if no node answers
        and CommandError if one answers with an error.
        """
        failures = []
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for address in self._addresses:
                url = f'http://{address}{path}'
                data = None if body is None else msgspec.json.encode(body)
                try:
                    async with session.request(
                        method, url, data=data
                    ) as response:
                        raw = await response.read()
                        return _parse_answer(response.status, raw, body_type)
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    reason = str(error) or type(error).__name__
                    failures.append(f'{address}: {reason}')
        raise UnreachableError(
            failures=failures, command_id=getattr(body, 'command_id', '')
        )

    async def fetch_status(self) -> bodies.StatusBody:
        """Return the status of the system as the answering node sees it."""
        return await self._request('GET', '/status', None, bodies.StatusBody)

    async def fetch_table(self) -> bodies.TableBody:
        """Return the table and its version."""
        return await self._request('GET', '/table', None, bodies.TableBody)

    async def fetch_audit(self, query: str) -> bodies.AuditBody:
        """Return the records of the audit trail that match a URL query."""
        return await self._request(
            'GET', f'/audit?{query}', None, bodies.AuditBody
        )

    async def change_rows(self, body: bodies.ChangeBody) -> bodies.OutcomeBody:
        """Change rows of the table."""
        return await self._request(
            'POST', '/changes', body, bodies.OutcomeBody
        )

    async def mark_data_centre(
        self, name: str, body: bodies.MarkBody
    ) -> bodies.OutcomeBody:
        """Take a data centre out or bring it back."""
        return await self._request(
            'POST', f'/data-centres/{name}', body, bodies.OutcomeBody
        )

    async def change_voter(
        self, name: str, body: bodies.VoterBody
    ) -> bodies.OutcomeBody:
        """Admit or remove a voter."""
        return await self._request(
            'POST', f'/voters/{name}', body, bodies.OutcomeBody
        )

    async def fetch_quarantine(self) -> bodies.QuarantineBody:
        """Return the parts of prompts that have crashed endpoints."""
        return await self._request(
            'GET', '/quarantine', None, bodies.QuarantineBody
        )

    async def release_part(self, part: str) -> bodies.ReleaseBody:
        """Release a part of prompts from quarantine."""
        path = f'/quarantine/{urllib.parse.quote(part, safe="")}/release'
        return await self._request('POST', path, None, bodies.ReleaseBody)

    async def wait_in_force(
        self, version: int, timeout_s: float
    ) -> InForceStatus:
        """Wait until every node confirms a version or the timeout ends."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while True:
            status = await self.fetch_status()
            unconfirmed = [
                node.node_id
                for node in status.nodes
                if not node.alive or node.version < version
            ]
            confirmed = [
                node.node_id
                for node in status.nodes
                if node.node_id not in unconfirmed
            ]
            if not unconfirmed or loop.time() >= deadline:
                return InForceStatus(
                    confirmed=confirmed, unconfirmed=unconfirmed
                )
            await asyncio.sleep(POLL_S)


def _parse_answer(status: int, raw: bytes, body_type):
    """Parse an answer; raises CommandError for an error body."""
    try:
        return msgspec.json.decode(raw, type=body_type)
    except msgspec.DecodeError:
        pass
    try:
        body = msgspec.json.decode(raw, type=bodies.ErrorBody)
    except msgspec.DecodeError:
        body = bodies.ErrorBody(
            code=errors.ErrorCode.PROTOCOL.label,
            message=f'the node answered with status {status}, which this '
            'version does not understand',
            ran=errors.Ran.UNKNOWN.value,
        )
    raise CommandError(body=body)
