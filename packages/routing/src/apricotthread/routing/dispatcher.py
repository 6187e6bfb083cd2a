"""Dispatch of requests to a local endpoint or to another entry."""

import collections.abc
import contextlib
import dataclasses

from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import units
from apricotthread.endpoints import announcements
from apricotthread.endpoints import client
from apricotthread.endpoints import registry
from apricotthread.nodes import links
from apricotthread.nodes import messages
from apricotthread.nodes import server
from apricotthread.routing import calls
from apricotthread.routing import scheduler
from apricotthread.routing import view

PieceStream = collections.abc.AsyncIterator[messages.DispatchPiece]
REMOTE_STALL_FACTOR = 1.5  # so that the other entry detects a stall first


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainAnswer:
    """A plain service's answer: status, headers and the body in pieces."""

    head: client.PlainHead
    body: collections.abc.AsyncIterator[bytes]


class Dispatcher:
    """Opens answers on reserved slots, and serves requests of peers."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        system: view.SystemView,
        schedule: scheduler.Scheduler,
        endpoint_client: client.EndpointClient,
        link_by_id: dict[str, links.PeerLink],
        stall_s: float,
    ) -> None:
        self._env = env
        self._remote_stall_s = stall_s * REMOTE_STALL_FACTOR
        self._system = system
        self._schedule = schedule
        self._client = endpoint_client
        self._link_by_id = link_by_id

    # Model services

    @contextlib.asynccontextmanager
    async def open_model(
        self, slot: scheduler.Slot, call: calls.ModelCall, offset: int
    ) -> collections.abc.AsyncIterator[PieceStream]:
        """Yield the pieces of the answer, starting at a token offset.

        Leaving the context cancels the request.
        """
        match slot:
            case scheduler.LocalSlot(endpoint=endpoint):
                async with self._open_engine(endpoint, call, offset) as pieces:
                    yield pieces
            case scheduler.RemoteSlot(node_id=node_id, may_wait=may_wait):
                body = make_dispatch(
                    call, offset=offset, now=self._now(), may_wait=may_wait
                )
                link = self._link_by_id[node_id]
                head_timeout_s = self._remote_stall_s
                if may_wait:
                    head_timeout_s += call.deadline - self._now()
                async with link.open_stream(body) as stream:
                    await self._receive_head(stream, head_timeout_s)
                    yield self._receive_pieces(stream, self._remote_stall_s)

    def _now(self) -> float:
        return self._env.timer.now()

    @contextlib.asynccontextmanager
    async def _open_engine(
        self, endpoint: registry.Endpoint, call: calls.ModelCall, offset: int
    ) -> collections.abc.AsyncIterator[PieceStream]:
        request = announcements.GenerateRequest(
            request_id=call.request_id,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            offset=offset,
            priority=call.priority,
            seed=call.request_id,
            group_id=endpoint.announcement.group_id,
        )
        try:
            async with self._client.generate(
                endpoint.announcement.url, request
            ) as generated:
                yield self._read_engine(endpoint, generated)
        except errors.ApricotError as error:
            self._record_failure(endpoint, error)
            raise

    def _record_failure(
        self, endpoint: registry.Endpoint, error: errors.ApricotError
    ) -> None:
        """Lower an endpoint's limit if it refused, else suspend it.

        Other failures may mean that the endpoint has died, that its
        group is broken or that it starts cold, none of which it has
        announced yet.
        """
        if error.code is errors.ErrorCode.OVERLOADED:
            endpoint.ramp.on_overloaded()
        else:
            endpoint.suspend(self._now())

    async def _read_engine(
        self,
        endpoint: registry.Endpoint,
        generated: collections.abc.AsyncIterator[announcements.GeneratedPiece],
    ) -> PieceStream:
        """Yield an engine's pieces, and record success at the last one.

        It is recorded before that piece is yielded, as the reader may
        stop there.
        """
        started_at = self._now()
        tokens = 0
        async for piece in generated:
            tokens += piece.tokens
            if piece.finish:
                self._record_success(endpoint, tokens, started_at)
            yield messages.DispatchPiece(
                offset=piece.offset,
                tokens=piece.tokens,
                data=piece.text.encode(),
                finish=piece.finish,
            )

    def _record_success(
        self, endpoint: registry.Endpoint, tokens: int, started_at: float
    ) -> None:
        """Raise an endpoint's limit and record its speed."""
        endpoint.ramp.on_completed()
        if tokens:
            endpoint.record_speed((self._now() - started_at) / tokens)

    # Plain services

    @contextlib.asynccontextmanager
    async def open_plain(
        self, slot: scheduler.Slot, call: calls.PlainCall
    ) -> collections.abc.AsyncIterator[PlainAnswer]:
        """Send a request and yield its answer.

        Raises ApricotError; its ran field says whether any byte of the
        request may have been sent.
        """
        match slot:
            case scheduler.LocalSlot(endpoint=endpoint):
                async with self._open_service(endpoint, call) as answer:
                    yield answer
            case scheduler.RemoteSlot(node_id=node_id, may_wait=may_wait):
                body = make_dispatch(
                    call, offset=0, now=self._now(), may_wait=may_wait
                )
                link = self._link_by_id[node_id]
                remaining_s = call.deadline - self._now()
                async with link.open_stream(body) as stream:
                    head = await self._receive_head(stream, remaining_s)
                    yield PlainAnswer(
                        head=client.PlainHead(
                            status=head.status,
                            headers=tuple(
                                (header.name, header.value)
                                for header in head.headers
                            ),
                        ),
                        body=self._receive_bytes(stream),
                    )

    @contextlib.asynccontextmanager
    async def _open_service(
        self, endpoint: registry.Endpoint, call: calls.PlainCall
    ) -> collections.abc.AsyncIterator[PlainAnswer]:
        request = client.PlainRequest(
            request_id=call.request_id,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            repeatable=call.repeatable,
        )
        remaining_s = call.deadline - self._now()
        try:
            async with self._env.timer.timeout(remaining_s):
                async with self._client.forward(
                    endpoint.announcement.url, request
                ) as answer:
                    yield PlainAnswer(head=answer.head, body=answer.pieces())
                    endpoint.ramp.on_completed()
        except TimeoutError:
            endpoint.ramp.on_overloaded()
            raise errors.ApricotError(
                code=errors.ErrorCode.DEADLINE,
                message='the service did not answer before the deadline',
                ran=errors.Ran.UNKNOWN,
            ) from None
        except errors.ApricotError as error:
            self._record_failure(endpoint, error)
            raise

    async def _receive(
        self, stream: links.ReplyStream, timeout_s: float
    ) -> messages.Message:
        """Return the next reply of a peer.

        Raises ApricotError with code DEADLINE if none comes in time.
        """
        try:
            async with self._env.timer.timeout(timeout_s):
                return await stream.receive()
        except TimeoutError:
            raise errors.ApricotError(
                code=errors.ErrorCode.DEADLINE,
                message='the other entry did not answer in time',
                ran=errors.Ran.UNKNOWN,
            ) from None

    async def _receive_head(
        self, stream: links.ReplyStream, timeout_s: float
    ) -> messages.DispatchHead:
        reply = await self._receive(stream, timeout_s)
        match reply:
            case messages.DispatchHead():
                return reply
        raise errors.ApricotError(
            code=errors.ErrorCode.PROTOCOL,
            message=f'expected an answer head, got {type(reply).__name__}',
            ran=errors.Ran.UNKNOWN,
        )

    async def _receive_pieces(
        self, stream: links.ReplyStream, timeout_s: float
    ) -> PieceStream:
        """Yield the pieces of a stream until its end."""
        while True:
            match await self._receive(stream, timeout_s):
                case messages.DispatchPiece() as piece:
                    yield piece
                case messages.Done():
                    return

    async def _receive_bytes(
        self, stream: links.ReplyStream
    ) -> collections.abc.AsyncIterator[bytes]:
        async for piece in self._receive_pieces(stream, self._remote_stall_s):
            yield piece.data

    # Requests from other entries

    async def on_dispatch(
        self,
        peer: messages.Greeting,
        body: messages.Dispatch,
        sink: server.ReplySink,
    ) -> None:
        """Run a request from another entry on an endpoint of this one."""
        self._check_open()
        call = make_call(body, now=self._now())
        slot = await self._reserve_slot(call, may_wait=body.may_wait)
        try:
            match call:
                case calls.ModelCall():
                    await self._send_model(slot, call, body.offset, sink)
                case calls.PlainCall():
                    await self._send_plain(slot, call, sink)
        finally:
            self._schedule.release(slot)

    async def _reserve_slot(
        self, call: calls.AnyCall, *, may_wait: bool
    ) -> scheduler.LocalSlot:
        """Reserve a slot on a local endpoint, or raise an error as not run.

        Queues the request only if it may wait.
        """
        if may_wait:
            return await self._schedule.acquire_local(call)
        slot = self._schedule.reserve_local(call)
        if slot is None:
            raise errors.ApricotError(
                code=errors.ErrorCode.NO_CAPACITY,
                message=f'{self._system.own.node_id} has no free slot for '
                f'{call.service}',
                retry_after_s=1.0,
            )
        return slot

    def _check_open(self) -> None:
        """Raise ApricotError if this node takes no requests of peers."""
        if self._system.is_out(self._system.own.data_centre):
            raise errors.ApricotError(
                code=errors.ErrorCode.TAKEN_OUT,
                message='the data centre is taken out',
            )
        if self._system.draining:
            raise errors.ApricotError(
                code=errors.ErrorCode.DRAINING,
                message='the node is draining',
            )

    async def _send_model(
        self,
        slot: scheduler.LocalSlot,
        call: calls.ModelCall,
        offset: int,
        sink: server.ReplySink,
    ) -> None:
        async with self.open_model(slot, call, offset) as pieces:
            await sink.send(
                messages.DispatchHead(
                    status=200,
                    headers=[],
                    endpoint_id=slot.endpoint.endpoint_id,
                )
            )
            async for piece in pieces:
                await sink.send(piece)
        await sink.send(messages.Done(), last=True)

    async def _send_plain(
        self,
        slot: scheduler.LocalSlot,
        call: calls.PlainCall,
        sink: server.ReplySink,
    ) -> None:
        async with self.open_plain(slot, call) as answer:
            await sink.send(
                messages.DispatchHead(
                    status=answer.head.status,
                    headers=[
                        messages.Header(name=name, value=value)
                        for name, value in answer.head.headers
                    ],
                    endpoint_id=slot.endpoint.endpoint_id,
                )
            )
            offset = 0
            async for data in answer.body:
                await sink.send(
                    messages.DispatchPiece(offset=offset, tokens=0, data=data)
                )
                offset += len(data)
        await sink.send(messages.Done(), last=True)


def make_dispatch(
    call: calls.AnyCall, *, offset: int, now: float, may_wait: bool
) -> messages.Dispatch:
    """Return the message that forwards a request to another entry."""
    timeout_ms = int(max(0.0, call.deadline - now) * units.MS_PER_S)
    match call:
        case calls.ModelCall():
            return messages.Dispatch(
                request_id=call.request_id,
                account=call.account,
                service=call.service,
                kind=call.kind,
                method='',
                path='',
                headers=[],
                body=b'',
                timeout_ms=timeout_ms,
                offset=offset,
                model=True,
                repeatable=True,
                max_tokens=call.max_tokens,
                priority=call.priority,
                prompt=call.prompt,
                may_wait=may_wait,
            )
        case calls.PlainCall():
            return messages.Dispatch(
                request_id=call.request_id,
                account=call.account,
                service=call.service,
                kind=call.kind,
                method=call.method,
                path=call.path,
                headers=[
                    messages.Header(name=name, value=value)
                    for name, value in call.headers
                ],
                body=call.body,
                timeout_ms=timeout_ms,
                offset=0,
                model=False,
                repeatable=call.repeatable,
                max_tokens=0,
                priority=0,
                may_wait=may_wait,
            )


def make_call(body: messages.Dispatch, *, now: float) -> calls.AnyCall:
    """Return the request that another entry has forwarded."""
    deadline = now + body.timeout_ms / units.MS_PER_S
    if body.model:
        return calls.ModelCall(
            request_id=body.request_id,
            account=body.account,
            service=body.service,
            kind=body.kind,
            cost=1.0,
            deadline=deadline,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            offset=body.offset,
            priority=body.priority,
        )
    return calls.PlainCall(
        request_id=body.request_id,
        account=body.account,
        service=body.service,
        kind=body.kind,
        cost=1.0,
        deadline=deadline,
        method=body.method,
        path=body.path,
        headers=tuple((header.name, header.value) for header in body.headers),
        body=body.body,
        repeatable=body.repeatable,
    )
