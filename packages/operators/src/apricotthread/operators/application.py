"""The ASGI application for operators."""

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from apricotthread.base import bodies as base_bodies
from apricotthread.base import decoding
from apricotthread.base import documents
from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.control import audit
from apricotthread.control import commands
from apricotthread.control import proposals
from apricotthread.control import replica
from apricotthread.control import tables
from apricotthread.operators import bodies
from apricotthread.operators import localmarks
from apricotthread.operators import overview as overviews
from apricotthread.routing import view

JSON = 'application/json'
MAX_BODY_BYTES = 4 * 1024 * 1024
PROPOSE_TIMEOUT_S = 8.0
MAX_AUDIT_RECORDS = 1000


class OperatorApplication:
    """Serves requests of operators over ASGI.

    Any node shows the state of the whole system and accepts commands.
    """

    def __init__(
        self,
        *,
        env: environment.Environment,
        system: view.SystemView,
        raft: replica.Replica,
        proposer: proposals.Proposer,
        trail: audit.AuditTrail,
        overview: overviews.Overview,
        marks: localmarks.LocalMarks,
        extra_routes: list[routing.Route],
    ) -> None:
        self._env = env
        self._system = system
        self._raft = raft
        self._proposer = proposer
        self._trail = trail
        self._overview = overview
        self._marks = marks
        self.asgi = applications.Starlette(
            routes=[
                *extra_routes,
                routing.Route('/status', self._show_status),
                routing.Route('/table', self._show_table),
                routing.Route('/groups', self._show_groups),
                routing.Route('/audit', self._show_audit),
                routing.Route('/changes', self._change_rows, methods=['POST']),
                routing.Route(
                    '/data-centres/{name}',
                    self._mark_data_centre,
                    methods=['POST'],
                ),
                routing.Route(
                    '/voters/{name}', self._change_voter, methods=['POST']
                ),
            ],
            exception_handlers={errors.ApricotError: _answer_error},
        )

    async def _show_status(
        self, request: requests.Request
    ) -> responses.Response:
        return _answer(self._overview.make_status())

    async def _show_table(
        self, request: requests.Request
    ) -> responses.Response:
        return _answer(
            bodies.TableBody(
                version=self._system.agreed_state.version,
                table=self._system.agreed_state.table,
            )
        )

    async def _show_groups(
        self, request: requests.Request
    ) -> responses.Response:
        return _answer(self._overview.group_statuses())

    async def _show_audit(
        self, request: requests.Request
    ) -> responses.Response:
        query = request.query_params
        records = [
            record
            for record in self._trail.records
            if query.get('subject', '') in record.subject
            and query.get('operator') in (None, record.operator)
            and record.wall_time_s >= _read_number(query.get('since', '0'))
        ]
        return _answer(
            bodies.AuditBody(
                node_id=self._system.own.node_id,
                records=records[-MAX_AUDIT_RECORDS:],
            )
        )

    def _make_origin(
        self, request: requests.Request, command_id: str, operator: str
    ) -> commands.Origin:
        client = request.client
        return commands.Origin(
            command_id=command_id,
            operator=operator,
            source=f'{client.host}:{client.port}' if client else '-',
            wall_time_s=self._env.timer.wall_time(),
        )

    async def _change_rows(
        self, request: requests.Request
    ) -> responses.Response:
        body = await _read_body(request, bodies.ChangeBody)
        command = commands.ChangeRows(
            origin=self._make_origin(request, body.command_id, body.operator),
            base_version=body.base_version,
            edits=body.edits,
        )
        before = self._system.agreed_state.table
        rows = before.row_by_key()
        for edit in body.edits:
            if edit.row is None:
                rows.pop(edit.key, None)
            else:
                rows[edit.key] = edit.row
        after = tables.make_table(rows.values())
        changes = tables.diff_tables(before, after)
        if body.dry_run:
            faults = tables.check_table(after)
            if faults:
                raise tables.TableError(faults=faults)
            result = commands.Result(version=self._system.agreed_state.version)
            return _answer(
                bodies.OutcomeBody(
                    command_id=body.command_id, result=result, changes=changes
                )
            )
        return await self._propose(request, command, changes)

    async def _mark_data_centre(
        self, request: requests.Request
    ) -> responses.Response:
        body = await _read_body(request, bodies.MarkBody)
        name = request.path_params['name']
        nodes = self._system.members.node_by_id.values()
        known = sorted({node.data_centre for node in nodes})
        if name not in known:
            raise errors.ApricotError(
                code=errors.ErrorCode.UNKNOWN_ROW,
                message=f'data centre {name!r}: allowed is one of '
                + ', '.join(known),
            )
        command = commands.MarkDataCentre(
            origin=self._make_origin(request, body.command_id, body.operator),
            base_version=body.base_version,
            data_centre=name,
            out=body.out,
            force=body.force,
        )
        try:
            return await self._propose(request, command, [])
        except errors.ApricotError as error:
            # Any later order about the data centre is newer than the mark.
            base_index = self._raft.applied_index
            is_own = name == self._system.own.data_centre
            if not (body.out and is_own) or await request.is_disconnected():
                raise
            logs.log_fault('take_out_without_majority', error)
        await self._marks.set(proposals.rebase(command, base_index))
        return _answer(
            bodies.OutcomeBody(
                command_id=body.command_id,
                result=commands.Result(
                    version=self._system.agreed_state.version
                ),
                local_only=True,
            )
        )

    async def _change_voter(
        self, request: requests.Request
    ) -> responses.Response:
        body = await _read_body(request, bodies.VoterBody)
        name = request.path_params['name']
        origin = self._make_origin(request, body.command_id, body.operator)
        if not body.admit:
            return await self._propose(
                request, commands.RemoveVoter(origin=origin, node_id=name), []
            )
        disk_id = await self._raft.voters.fetch_disk_id(name)
        command = commands.AdmitVoter(
            origin=origin, node_id=name, disk_id=disk_id
        )
        return await self._propose(request, command, [])

    async def _propose(
        self,
        request: requests.Request,
        command: commands.AnyCommand,
        changes: list[tables.RowChange],
    ) -> responses.Response:
        """Propose a command while its caller waits; answer with its result.

        The answer lists the nodes in which the result is in force.
        """

        async def is_caller_waiting() -> bool:
            return not await request.is_disconnected()

        try:
            result = await self._proposer.propose_while_wanted(
                command,
                is_caller_waiting=is_caller_waiting,
                timeout_s=PROPOSE_TIMEOUT_S,
            )
        except errors.ApricotError as error:
            logs.log_fault(
                'operator_command_failed',
                error,
                command_id=command.origin.command_id,
                operator=command.origin.operator,
            )
            raise
        logs.log_event(
            'operator_command',
            command_id=command.origin.command_id,
            operator=command.origin.operator,
            result=result.code or 'accepted',
            version=result.version,
        )
        body = bodies.OutcomeBody(
            command_id=command.origin.command_id,
            result=result,
            changes=changes,
            in_force=self._overview.confirmed(result.version),
            not_confirmed=self._overview.not_confirmed(result.version),
        )
        status = 200
        if not result.accepted:
            status = errors.CODE_BY_LABEL[result.code].http_status
        return _answer(body, status=status)


def _answer(body, *, status: int = 200) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(body), status_code=status, media_type=JSON
    )


async def _answer_error(
    request: requests.Request, error: errors.ApricotError
) -> responses.Response:
    body = bodies.ErrorBody(
        code=error.code.label, message=error.message, ran=error.ran.value
    )
    return _answer(body, status=error.code.http_status)


async def _read_body(request: requests.Request, body_type: type):
    """Read and parse the body of a command.

    Raises ApricotError BAD_REQUEST if the body does not fit the type.
    """
    raw = await base_bodies.read_limited(request.stream(), MAX_BODY_BYTES)
    try:
        return documents.DocumentReader(
            document_type=body_type, unique_names=True
        ).read(raw)
    except decoding.DECODE_ERRORS as error:
        raise errors.ApricotError(
            code=errors.ErrorCode.BAD_REQUEST, message=f'body: {error}'
        ) from error


def _read_number(text: str) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise errors.ApricotError(
            code=errors.ErrorCode.BAD_REQUEST,
            message=f'since: {text!r}: allowed is a number of seconds',
        ) from error
