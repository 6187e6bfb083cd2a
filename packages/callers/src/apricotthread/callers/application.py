"""The ASGI application for callers of model services and plain services."""

import codecs
import dataclasses
import math

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing as http_routing

from apricotthread.base import bodies as base_bodies
from apricotthread.base import environment
from apricotthread.base import errors
from apricotthread.base import logs
from apricotthread.callers import bodies
from apricotthread.callers import requestparsing
from apricotthread.callers import streams
from apricotthread.control import tables
from apricotthread.routing import buffers
from apricotthread.routing import calls
from apricotthread.routing import router as request_router
from apricotthread.routing import view

JSON = 'application/json'
PLAIN_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClassifiedRequest:
    """The service, the kind and the deadline of a request.

    The deadline is a monotonic time of the timer, in seconds.
    """

    service: str
    kind: tables.RequestRow
    deadline: float


class CallerApplication:
    """Serves requests of callers over ASGI."""

    def __init__(
        self,
        *,
        env: environment.Environment,
        router: request_router.Router,
        system: view.SystemView,
        max_body_bytes: int,
        max_header_bytes: int,
        request_timeout_s: float,
        extra_routes: list[http_routing.Route],
    ) -> None:
        self._env = env
        self._router = router
        self._system = system
        self._max_body_bytes = max_body_bytes
        self._max_header_bytes = max_header_bytes
        self._request_timeout_s = request_timeout_s
        self.asgi = applications.Starlette(
            routes=[
                *extra_routes,
                http_routing.Route(
                    '/v1/completions',
                    _AsgiHandler(serve=self._serve_completion),
                    methods=['POST'],
                ),
                http_routing.Route(
                    '/v1/chat/completions',
                    _AsgiHandler(serve=self._serve_chat),
                    methods=['POST'],
                ),
                http_routing.Route(
                    '/services/{service}/{path:path}',
                    _AsgiHandler(serve=self._serve_plain),
                    methods=list(PLAIN_METHODS),
                ),
            ]
        )

    async def _serve_completion(self, scope, receive, send) -> None:
        await self._serve(scope, receive, send, self._answer_completion)

    async def _serve_chat(self, scope, receive, send) -> None:
        await self._serve(scope, receive, send, self._answer_chat)

    async def _serve_plain(self, scope, receive, send) -> None:
        await self._serve(scope, receive, send, self._answer_plain)

    async def _serve(self, scope, receive, send, answer) -> None:
        """Answer one request; an ApricotError becomes a refusal."""
        request = requests.Request(scope, receive)
        started_at = self._env.timer.now()
        request_id = self._env.new_id()
        try:
            resumption = requestparsing.read_resumption(request)
            if resumption is not None and answer != self._answer_plain:
                request_id = resumption.request_id
            with logs.log_action(
                'request',
                request_id=request_id,
                method=request.method,
                path=request.url.path,
            ):
                await answer(request, request_id, send)
            self._env.metrics.count('requests_answered')
        except errors.ApricotError as error:
            self._env.metrics.count(f'requests_failed_{error.code.label}')
            await self._refuse(scope, receive, send, error, request_id)
        except (ConnectionError, requests.ClientDisconnect):
            self._env.metrics.count('callers_left')
        self._env.metrics.record_s(
            'request', self._env.timer.now() - started_at
        )

    async def _refuse(
        self,
        scope,
        receive,
        send,
        error: errors.ApricotError,
        request_id: str,
    ) -> None:
        """Send a refusal, unless an answer has begun."""
        if scope.get('answer_begun'):
            return
        headers = {'Request-Id': request_id}
        if error.retry_after_s is not None:
            seconds = max(1, math.ceil(error.retry_after_s))
            headers['Retry-After'] = str(seconds)
        response = responses.Response(
            msgspec.json.encode(streams.make_refusal(error, request_id)),
            status_code=error.code.http_status,
            headers=headers,
            media_type=JSON,
        )
        await response(scope, receive, send)

    def _authenticate(self, request: requests.Request) -> tables.AccountRow:
        """Return the account of a request.

        Raises ApricotError if this node takes no requests, the headers
        are too large or the key is wrong.
        """
        requestparsing.check_headers(request, self._max_header_bytes)
        self._router.check_open()
        return requestparsing.find_account(request, self._system)

    def _classify(
        self,
        request: requests.Request,
        name: str,
        service_type: str,
        path: str,
    ) -> ClassifiedRequest:
        """Look up service and kind of a request in the agreed table."""
        table = self._system.agreed_state.table
        service = requestparsing.find_service(name, service_type, table)
        timeout_s = requestparsing.read_timeout_s(
            request, self._request_timeout_s
        )
        return ClassifiedRequest(
            service=service.name,
            kind=requestparsing.find_kind(
                service.name,
                request.method,
                path,
                request.headers.get('request-kind', ''),
                table,
            ),
            deadline=self._env.timer.now() + timeout_s,
        )

    # Model services

    async def _answer_completion(
        self, request: requests.Request, request_id: str, send
    ) -> None:
        await self._answer_model(request, request_id, send, chat=False)

    async def _answer_chat(
        self, request: requests.Request, request_id: str, send
    ) -> None:
        await self._answer_model(request, request_id, send, chat=True)

    async def _answer_model(
        self, request: requests.Request, request_id: str, send, *, chat: bool
    ) -> None:
        account = self._authenticate(request)
        raw = await base_bodies.read_limited(
            request.stream(), self._max_body_bytes
        )
        body = bodies.parse_body(raw, chat=chat)
        classified = self._classify(
            request, body.model, 'model', request.url.path
        )
        resumption = requestparsing.read_resumption(request)
        call = calls.ModelCall(
            request_id=request_id,
            account=account.name,
            service=classified.service,
            kind=classified.kind.name,
            cost=classified.kind.weight,
            deadline=classified.deadline,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            priority=int(classified.kind.weight),
            offset=resumption.offset if resumption is not None else 0,
        )
        started_at = self._env.timer.now()
        async with self._router.open_model(call) as buffer:
            self._env.metrics.record_s(
                'first_token', self._env.timer.now() - started_at
            )
            if body.stream:
                request.scope['answer_begun'] = True
                stream = streams.EventStream(
                    timer=self._env.timer,
                    request_id=request_id,
                    service=classified.service,
                    chat=chat,
                    buffer=buffer,
                )
                await stream.run(request.receive, send)
                self._env.metrics.count('tokens_sent', stream.sent_tokens)
            else:
                answer = await _collect_answer(buffer, call, chat=chat)
                await self._send_whole(request, send, request_id, answer)

    async def _send_whole(
        self,
        request: requests.Request,
        send,
        request_id: str,
        answer: bodies.AnswerBody,
    ) -> None:
        request.scope['answer_begun'] = True
        response = responses.Response(
            msgspec.json.encode(answer),
            headers={'Request-Id': request_id},
            media_type=JSON,
        )
        await response(request.scope, request.receive, send)

    # Plain services

    async def _answer_plain(
        self, request: requests.Request, request_id: str, send
    ) -> None:
        account = self._authenticate(request)
        path = '/' + request.path_params['path']
        classified = self._classify(
            request, request.path_params['service'], 'plain', path
        )
        query = request.url.query
        call = calls.PlainCall(
            request_id=request_id,
            account=account.name,
            service=classified.service,
            kind=classified.kind.name,
            cost=classified.kind.weight,
            deadline=classified.deadline,
            method=request.method,
            path=f'{path}?{query}' if query else path,
            headers=tuple(request.headers.items()),
            body=await base_bodies.read_limited(
                request.stream(), self._max_body_bytes
            ),
            repeatable=classified.kind.repeatable,
            idempotency_key=requestparsing.read_idempotency_key(request),
        )
        async with self._router.open_plain(call) as answer:
            headers = [*answer.head.headers, ('Request-Id', request_id)]
            request.scope['answer_begun'] = True
            await send(
                {
                    'type': 'http.response.start',
                    'status': answer.head.status,
                    'headers': [
                        (name.lower().encode(), value.encode('latin-1'))
                        for name, value in headers
                    ],
                }
            )
            async for data in answer.body:
                await send(
                    {
                        'type': 'http.response.body',
                        'body': data,
                        'more_body': True,
                    }
                )
        await send({'type': 'http.response.body', 'body': b''})


class _AsgiHandler:
    """An ASGI handler, which starlette calls without a wrapper.

    Starlette wraps plain functions, but not callable objects.
    """

    def __init__(self, *, serve) -> None:
        self._serve = serve

    async def __call__(self, scope, receive, send) -> None:
        await self._serve(scope, receive, send)


async def _collect_answer(
    buffer: buffers.AnswerBuffer, call: calls.ModelCall, *, chat: bool
) -> bodies.AnswerBody:
    """Read an answer to its end and return it as one body."""
    decoder = codecs.getincrementaldecoder('utf-8')('replace')
    parts = []
    tokens = 0
    finish = ''
    while True:
        piece = await buffer.read()
        if piece is None:
            break
        parts.append(decoder.decode(piece.data))
        tokens += piece.tokens
        finish = piece.finish or finish
    return bodies.AnswerBody(
        id=call.request_id,
        object='chat.completion' if chat else 'text_completion',
        model=call.service,
        choices=[
            bodies.make_choice(
                chat=chat, stream=False, text=''.join(parts), finish=finish
            )
        ],
        usage=bodies.Usage(completion_tokens=tokens),
    )
