"""HTTP routes for the parts of prompts that are in quarantine."""

import typing

import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from apricotthread.base import errors
from apricotthread.fleet import crashreports
from apricotthread.operators import bodies


class QuarantineKeeper(typing.Protocol):
    """Knows the parts of prompts that crash endpoints, and releases them."""

    def records(self) -> tuple[crashreports.PartRecord, ...]:
        """Return the records of all parts that it knows of."""

    def release(self, part: str, *, source: str) -> bool:
        """Release a part; return whether it was held."""


def make_quarantine_routes(keeper: QuarantineKeeper) -> list[routing.Route]:
    """Return the routes GET /quarantine and POST /quarantine/{part}/release.

    Releasing a part that is not held answers 404 with code `unknown_part`.
    """

    async def show(request: requests.Request) -> responses.Response:
        body = bodies.QuarantineBody(
            parts=[
                bodies.QuarantinedPart(
                    part=record.part,
                    condition=record.condition.value,
                    remaining_s=record.remaining_s,
                    crashes=record.crashes,
                    strikes=record.strikes,
                    tentative=record.tentative,
                )
                for record in keeper.records()
            ]
        )
        return _answer(200, body)

    async def release(request: requests.Request) -> responses.Response:
        part = request.path_params['part']
        source = request.client.host if request.client else ''
        if keeper.release(part, source=source):
            return _answer(200, bodies.ReleaseBody(part=part, released=True))
        code = errors.ErrorCode.UNKNOWN_PART
        return _answer(
            code.http_status,
            bodies.ErrorBody(
                code=code.label,
                message=f'no prompt part {part!r} is held; see GET '
                '/quarantine',
                ran=errors.Ran.NO.value,
            ),
        )

    return [
        routing.Route('/quarantine', show),
        routing.Route('/quarantine/{part}/release', release, methods=['POST']),
    ]


def _answer(status: int, body: msgspec.Struct) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type='application/json',
    )
