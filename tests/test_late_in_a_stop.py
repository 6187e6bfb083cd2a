"""Requests that come late in a planned stop of an entry, on real nodes."""

import asyncio

import pytest

from tests import platformstandin

PATHS = ('/bids/1', '/reads/1', '/lots/1')
# Beyond the drain of the stand-in's nodes, 7 s, from where a body is whole.
BODY_WHOLE_S = (1.0, 4.0, 5.5, 6.4)
# From here on the work is not done before the end of the drain.
LATE_S = 5.5
WORK_S = 3.0
BODY = b'x' * 10


async def drip(deployment, host, path, attempt, *, whole_at):
    """Send a request whose body becomes whole at a time; return the answer."""
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(
        host, deployment.caller_port
    )
    model = 'Model: m0\r\nToken-Usage: 10,80\r\n' if path == '/lots/1' else ''
    writer.write(
        (
            f'POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k1\r\n'
            f'Attempt-Id: {attempt}\r\nDeadline-Ms: 8000\r\n{model}'
            f'Content-Length: {len(BODY)}\r\n\r\n'
        ).encode()
        + BODY[:-1]
    )
    await asyncio.sleep(whole_at - loop.time())
    writer.write(BODY[-1:])
    answer = b''
    try:
        while part := await reader.read(65536):
            answer += part
    except ConnectionError:
        pass
    writer.close()
    return answer


@pytest.mark.parametrize('path', PATHS)
def test_what_comes_late_in_a_stop_is_answered_or_refused_as_not_run(
    path, children, tmp_path
):
    deployment = platformstandin.Deployment(children=children, folder=tmp_path)
    answers = {}

    async def main():
        await deployment.start()
        await deployment.call_control(
            platformstandin.PUT_TABLE_PATH, platformstandin.make_config(1)
        )
        for number in range(2):
            await deployment.add_worker(name=f'w-{number}', service='bids')
        for number in range(3):
            await deployment.add_worker(
                name=f'vm-{number}', service='models', domain='rack'
            )
        host = deployment.entries[0]

        async def serves():
            status, _, _ = await deployment.send_request(
                host, '/reads/1', Attempt_Id='try'
            )
            stream, _, _ = await deployment.request_stream(host, 'try')
            return (status, stream) == (200, 200)

        await deployment.wait_until(serves)
        for worker in deployment.workers:
            worker.gap_s = WORK_S
            worker.events = 2
            # An engine at work writes its head with its first event.
            worker.silent_before = 1
            worker.silent_s = WORK_S
        began_at = asyncio.get_running_loop().time() + 0.3
        sending = {
            whole_s: asyncio.create_task(
                drip(
                    deployment,
                    host,
                    path,
                    f'late-{whole_s}',
                    whole_at=began_at + whole_s,
                )
            )
            for whole_s in BODY_WHOLE_S
        }
        await asyncio.sleep(0.3)
        assert await deployment.stop_node(host) == 0
        for whole_s, task in sending.items():
            answers[whole_s] = await task
        await deployment.close()

    asyncio.run(main())
    for whole_s, answer in answers.items():
        head, _, _ = answer.partition(b'\r\n\r\n')
        status = int(head.split()[1])
        ran = any(
            w.run_count_by_attempt[f'late-{whole_s}']
            for w in deployment.workers
        )
        assert status in (200, 502, 503, 504), whole_s
        if status == platformstandin.NOT_RUN:
            assert b'"ran":"no"' in answer
            assert b'retry-after' in head
            assert not ran, whole_s
        if path == '/lots/1' and whole_s >= LATE_S:
            assert status == platformstandin.NOT_RUN, whole_s
