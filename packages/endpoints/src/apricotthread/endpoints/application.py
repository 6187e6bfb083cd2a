"""The HTTP application that receives announcements from endpoints."""

import collections.abc

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from apricotthread.base import bodies
from apricotthread.base import decoding
from apricotthread.base import documents
from apricotthread.base import errors
from apricotthread.endpoints import announcements
from apricotthread.endpoints import registry

MAX_ANNOUNCEMENT_BYTES = 65536
JSON = 'application/json'


def make_application(
    *,
    endpoints: registry.Registry,
    make_reply: collections.abc.Callable[[], announcements.AnnouncementReply],
) -> applications.Starlette:
    """Return the application for POST /announcements."""
    reader = documents.DocumentReader(document_type=announcements.Announcement)

    async def announce(request: requests.Request) -> responses.Response:
        try:
            body = await bodies.read_limited(
                request.stream(), MAX_ANNOUNCEMENT_BYTES
            )
        except errors.ApricotError as error:
            return _make_refusal(error.message, error.code.http_status)
        try:
            announcement = reader.read(body)
        except decoding.DECODE_ERRORS as error:
            return _make_refusal(str(error), 400)
        if not endpoints.announce(announcement).accepted:
            return _make_refusal('an older announcement came late', 409)
        return responses.Response(
            msgspec.json.encode(make_reply()), media_type=JSON
        )

    return applications.Starlette(
        routes=[routing.Route('/announcements', announce, methods=['POST'])]
    )


def _make_refusal(message: str, status: int) -> responses.Response:
    return responses.JSONResponse({'message': message}, status_code=status)
