"""A naive entry that reads engines at full speed into unbounded buffers.

Run as a process: python -m bench.naive_entry PORT ENGINE_URL GROUP_ID
"""

import asyncio
import sys

import aiohttp
import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import uvicorn

from apricotthread.endpoints import announcements


def make_application(engine_url: str, group_id: str):
    """Return an application for one model service, without any limits."""
    sessions = []

    async def complete(request: requests.Request) -> responses.Response:
        if not sessions:
            sessions.append(
                aiohttp.ClientSession(
                    connector=aiohttp.TCPConnector(limit=0),
                    timeout=aiohttp.ClientTimeout(total=None),
                )
            )
        body = await request.json()
        events: asyncio.Queue = asyncio.Queue()
        task = asyncio.create_task(
            read_engine(sessions[0], engine_url, group_id, body, events)
        )

        async def stream():
            while (event := await events.get()) is not None:
                yield event
            await task

        return responses.StreamingResponse(
            stream(), media_type='text/event-stream'
        )

    return applications.Starlette(
        routes=[routing.Route('/v1/completions', complete, methods=['POST'])]
    )


async def read_engine(session, engine_url, group_id, body, events) -> None:
    """Read an engine's answer and put its events into an unbounded queue."""
    generate = announcements.GenerateRequest(
        request_id='naive',
        prompt=body['prompt'],
        max_tokens=body['max_tokens'],
        offset=0,
        priority=0,
        seed='',
        group_id=group_id,
    )
    try:
        async with session.post(
            f'{engine_url}/generate', data=msgspec.json.encode(generate)
        ) as response:
            if response.status != 200:
                return
            async for line in response.content:
                piece = msgspec.json.decode(line)
                choice = {'index': 0, 'text': piece['text']}
                event = msgspec.json.encode(
                    {
                        'id': 'naive',
                        'object': 'text_completion',
                        'model': body['model'],
                        'choices': [choice],
                    }
                )
                events.put_nowait(b'data: ' + event + b'\n\n')
    except aiohttp.ClientError:
        pass
    finally:
        events.put_nowait(None)


def main() -> None:
    """Serve until killed."""
    port, engine_url, group_id = sys.argv[1:]
    uvicorn.run(
        make_application(engine_url, group_id),
        host='127.0.0.1',
        port=int(port),
        log_level='error',
    )


if __name__ == '__main__':
    main()
