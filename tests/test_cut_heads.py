"""Workers that close in the middle of an answer's head, on real nodes."""

import asyncio

import pytest

from tests import platformstandin

HEAD = (
    'HTTP/1.1 200 OK\r\n'
    'Attempt-Id: {attempt}\r\n'
    'Response-Seal: seal-{attempt}\r\n'
    'Content-Type: text/event-stream\r\n'
    '{framing}'
)
CUTS = (
    'after_the_first_line',
    'in_the_seal',
    'before_the_framing',
    'after_the_framing',
    'before_the_last_line_feed',
)
FRAMINGS = {
    'no_length': '',
    'length_0': 'Content-Length: 0\r\n',
    'length': 'Content-Length: 20\r\n',
    'chunks': 'Transfer-Encoding: chunked\r\n',
    'close': 'Connection: close\r\n',
    'after_a_continue': '',
}


class CuttingWorker(platformstandin.Worker):
    """Cuts each answer's head as its attempt says, and closes."""

    def make_cut_head(self, attempt):
        """Return the part of a head that is sent before the close."""
        _, framing, cut, _ = attempt.split('/')
        head = HEAD.format(attempt=attempt, framing=FRAMINGS[framing])
        whole = head + '\r\n'
        match cut:
            case 'after_the_first_line':
                part = head.partition('\r\n')[0] + '\r\n'
            case 'in_the_seal':
                part = head[: head.index('seal-') + 3]
            case 'before_the_framing':
                part = head[: len(head) - len(FRAMINGS[framing])]
            case 'after_the_framing':
                part = head
            case 'before_the_last_line_feed':
                part = whole[:-1]
        if framing == 'after_a_continue':
            part = 'HTTP/1.1 100 Continue\r\n\r\n' + part
        return part.encode()

    async def _run(self, headers, writer):
        attempt = headers['attempt-id']
        if not attempt.startswith('cut/'):
            await super()._run(headers, writer)
            return
        self.run_count_by_attempt[attempt] += 1
        writer.write(self.make_cut_head(attempt))
        await writer.drain()
        writer.close()


@pytest.mark.parametrize('path', ['/bids/1', '/reads/1', '/lots/1'])
def test_an_answer_that_ends_in_its_head_reaches_nobody_as_whole(
    path, children, tmp_path
):
    deployment = platformstandin.Deployment(children=children, folder=tmp_path)
    answers = {}

    async def request(host, attempt):
        if path == '/lots/1':
            return await deployment.request_stream(host, attempt)
        return await deployment.send_request(host, path, Attempt_Id=attempt)

    async def main():
        await deployment.start()
        await deployment.call_control(
            platformstandin.PUT_TABLE_PATH, platformstandin.make_config(1)
        )
        for name, service in (
            ('w-0', 'bids'),
            ('w-1', 'bids'),
            ('vm-0', 'models'),
            ('vm-1', 'models'),
            ('vm-2', 'models'),
        ):
            worker = CuttingWorker(
                controls=deployment.controls,
                name=name,
                service=service,
                domain='rack',
            )
            await worker.start()
            deployment.workers.append(worker)
        host = deployment.entries[0]

        async def serves():
            status, _, _ = await request(host, 'sound')
            return status == 200

        await deployment.wait_until(serves)
        for framing in FRAMINGS:
            for cut in CUTS:
                attempt = f'cut/{framing}/{cut}/{path.strip("/")[:3]}'
                answers[attempt] = await request(host, attempt)
        await deployment.close()

    asyncio.run(main())
    assert len(answers) == len(FRAMINGS) * len(CUTS)
    assert {status for status, _, _ in answers.values()} <= {502, 503, 504}
    for attempt, (status, headers, body) in answers.items():
        ran = sum(w.run_count_by_attempt[attempt] for w in deployment.workers)
        assert 'Response-Seal' not in headers, attempt
        assert body, attempt
        # What may have run is not refused as not run.
        assert status != platformstandin.NOT_RUN or not ran, attempt
        if path == '/bids/1':
            assert ran <= 1, attempt
