"""The adapter for the names, formats and calls of the users' platform."""

import json
import pathlib
import re

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.base import errors
from apricotthread.control import routetables
from apricotthread.endpoints import answerreader
from apricotthread.endpoints import directory
from apricotthread.gateway import placement
from apricotthread.gateway import requests
from apricotthread.groups import steps
from apricotthread.platform import callers
from apricotthread.platform import configs
from apricotthread.platform import instances
from apricotthread.platform import orders
from tests import formationworld

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'a.example',
            'path-prefix': '/lots/',
            'kind': 'streaming',
            'timeout-ms': 8000,
            'target-latency-ms': 400,
            'priority': 1,
            'traffic-split': [
                {'service': 'models', 'weight': 90},
                {'service': 'bids', 'weight': 10},
            ],
            'max-attempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
            'target-gap-ms': 250,
        },
        {
            'name': 'r-2',
            'host': 'a.example',
            'path-prefix': '/bids/',
            'kind': 'non_idempotent',
            'timeout-ms': 1000,
            'target-latency-ms': 125,
            'priority': 2,
            'service': 'bids',
            'max-attempts': 1,
        },
    ],
    'services': [
        {
            'name': 'models',
            'health-path': '/health',
            'max-conns': 464,
            'cold-start-s': 3.0,
            'cold-per-s': 36.0,
            'engine-profile': {
                'slot-count': 13,
                'kv-token-capacity': 1235000,
                'stride': 6,
                'model-ids': [
                    {
                        'name': 'm0',
                        'size': 6,
                        'traffic-share': 0.67,
                        'pace': 1.0,
                        'load-s': 16.0,
                        'warmup-s': 1.6,
                    }
                ],
                'step_ms': 6.45,
                'per_seq_ms': 0.1934,
                'context_per_k': 0.00586,
                'read_per_s': 56100.0,
                'loads-per-s': 5.5,
                'loads_at_once': 8,
                'staged-limit': 1,
                'form-ms': 300.0,
            },
        },
        {
            'name': 'bids',
            'health-path': '/health',
            'max-conns': 100,
            'cold-start-s': 0.0,
            'cold-per-s': 0.0,
        },
    ],
    'limits': {
        'max-header-bytes': 16384,
        'max-body-bytes': 4194304,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
    },
    'tenants': [{'name': 'club', 'api-keys': ['k1', 'k2'], 'priority': 1}],
}
HEARTBEAT = {
    'service': 'models',
    'address': '10.128.0.9:8080',
    'zone': 'vn-south-a',
    'version': 'v1',
    'slot-count': 13,
    'state': 'ready',
    'cold-left-ms': 1500,
    'phase': 'colocated',
    'model-ids': [{'name': 'm0', 'version': 1, 'lora-adapters': []}],
    'sequence': 4,
    'born': 1785751950009,
    'fault-domain': 'd1',
    'prestaged': ['m0'],
    'group': {'name': 'g', 'epoch': 3, 'rank': 0, 'state': 'open'},
}


def encode(value):
    """Return a value as JSON, as the platform sends it."""
    return json.dumps(value).encode()


# Configurations


def test_a_configuration_becomes_a_routing_table():
    table = configs.read_config(encode(CONFIG))
    stream, bid = table.routes
    assert table.version == 7
    assert stream.repeat is routetables.Repeat.RESUME
    assert stream.is_stream
    assert stream.timeout_s == 8.0
    assert [share.weight for share in stream.shares] == [90, 10]
    assert bid.repeat is routetables.Repeat.NEVER
    assert bid.shares[0].service == 'bids'
    engine = table.service_by_name()['models'].engine
    assert engine.step_s == pytest.approx(0.00645)
    assert engine.models[0].warm_load_s == 1.6
    assert table.accounts[0].keys == ('k1', 'k2')
    assert table.needs_key
    assert table.limits.idle_timeout_s == 15.0


def test_a_table_survives_packing_for_the_log():
    table = configs.read_config(encode(CONFIG))
    packed = routetables.pack_table(table)
    assert routetables.unpack_table(packed) == table


@pytest.mark.parametrize('end', range(0, 400, 23))
def test_a_truncated_configuration_is_refused(end):
    with pytest.raises(errors.ApricotError) as refused:
        configs.read_config(encode(CONFIG)[:end])
    assert refused.value.code.http_status == 400


@pytest.mark.parametrize(
    'spoil',
    [
        lambda c: c['routes'][0].update({'timeout-ms': 0}),
        lambda c: c['routes'][1].update({'service': 'unknown'}),
        lambda c: c['routes'][1].update({'path-prefix': '/lots/'}),
        lambda c: [
            s.update(weight=0) for s in c['routes'][0]['traffic-split']
        ],
        lambda c: c['routes'][0].pop('host'),
        lambda c: c.update(version='7'),
        lambda c: c['tenants'].append({'name': 'b', 'api-keys': ['k1']}),
    ],
)
def test_an_invalid_configuration_is_refused(spoil):
    config = json.loads(encode(CONFIG))
    spoil(config)
    with pytest.raises(errors.ApricotError) as refused:
        configs.read_config(encode(config))
    assert refused.value.code is errors.ErrorCode.TABLE


@hypothesis.given(data=strategies.binary(max_size=200))
def test_random_bytes_are_refused_with_a_typed_error(data):
    with pytest.raises(errors.ApricotError):
        configs.read_config(data)
    with pytest.raises(errors.ApricotError):
        instances.read_heartbeat('i-1', data)


# Workers


def test_a_heartbeat_becomes_an_announcement():
    announcement = instances.read_heartbeat('i-1', encode(HEARTBEAT))
    assert announcement.endpoint_id == 'i-1'
    assert announcement.data_centre == 'vn-south-a'
    assert announcement.cold_s == 1.5
    assert announcement.staged == ('m0',)
    assert announcement.fabric_domain == 'd1'
    assert announcement.place == directory.GroupPlace(
        group_id='g', epoch=3, rank=0, state=directory.MemberState.OPEN
    )
    assert not announcement.leaving


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'asleep'},
        {'sequence': 'four'},
        {'address': None},
        {'slot-count': 1.5},
        {'born': 1.5},
    ],
)
def test_a_malformed_heartbeat_is_refused(change):
    with pytest.raises(errors.ApricotError) as refused:
        instances.read_heartbeat('i-1', encode({**HEARTBEAT, **change}))
    assert refused.value.code is errors.ErrorCode.BAD_REQUEST


def test_a_heartbeat_without_group_fields_is_accepted():
    plain = {
        key: value
        for key, value in HEARTBEAT.items()
        if key not in ('group', 'prestaged', 'fault-domain', 'model-ids')
    }
    assert instances.read_heartbeat('i-1', encode(plain)).place is None


def test_a_leave_message_may_be_empty_or_malformed():
    assert instances.read_leave(b'') == 0
    assert instances.read_leave(b'{"born": 12}') == 12
    assert instances.read_leave(b'{"born"') == 0


def test_orders_carry_group_epoch_and_fence():
    world = formationworld.World()
    world.add('a1', 9)
    world.settle()
    group = world.group_of('large')
    vm = world.vm_by_id[group.members[0].endpoint_id]
    join = json.loads(
        orders.make_order(
            steps.Join(vm=vm, group=group, needs_load=False), fence=5
        )
    )
    assert join == {
        'operation': 'join',
        'group': group.group_id,
        'epoch': group.fencing,
        'model-id': 'large',
        'member-nodes': [m.endpoint_id for m in group.members],
        'fence': 5,
    }
    close = json.loads(
        orders.make_order(
            steps.Close(vm=vm, group_id='g', epoch=2, after_requests=True),
            fence=5,
        )
    )
    assert close['close-mode'] == 'queue'


# Requests


def make_headers(**extra):
    """Return the headers of a caller's request."""
    headers = {
        b'host': b'a.example',
        b'attempt-id': b'9c41',
        b'deadline-ms': b'8000',
        b'x-api-key': b'k1',
        b'model': b'm0',
        b'token-usage': b'1460,80',
        b'last-event-id': b'12',
        b'prompt-prefix': b'5c:800',
        b'connection': b'keep-alive, x-hop',
        b'x-hop': b'1',
        b'expect-instance': b'forged',
        b'tenant': b'forged',
    }
    headers.update(
        {
            name.replace('_', '-').encode(): value
            for name, value in extra.items()
        }
    )
    return list(headers.items())


def build_worker_request(dialect, headers, body=b'text', *, last_event_id=14):
    """Return the bytes of the request that a worker receives."""
    table = configs.read_config(encode(CONFIG))
    caller = dialect.parse_request('POST', b'/lots/2f?x=1', headers)
    routed_request = requests.RoutedRequest(
        caller=caller,
        body=body,
        route=table.routes[0],
        service=table.services[0],
        account='club',
        deadline=8.0,
        received_at=0.0,
    )
    return dialect.build_request(
        routed_request,
        address='10.0.0.1:80',
        endpoint_id='i-7',
        time_left_s=7.25,
        last_event_id=last_event_id,
        urgency=placement.Urgency.DEFERRED,
    )


def test_the_head_of_a_request_is_parsed():
    caller = callers.PlatformDialect().parse_request(
        'POST', b'/lots/2f?x=1', make_headers()
    )
    assert caller.request_id == '9c41'
    assert caller.path == '/lots/2f'
    assert caller.time_left_s == 8.0
    assert (caller.prompt_tokens, caller.output_tokens) == (1460, 80)
    assert caller.last_event_id == 12


@pytest.mark.parametrize('value', [b'-5', b'soon', b'nan', b'inf'])
def test_a_head_with_a_bad_number_is_refused(value):
    with pytest.raises(errors.ApricotError) as refused:
        callers.PlatformDialect().parse_request(
            'GET', b'/', make_headers(deadline_ms=value)
        )
    assert refused.value.code is errors.ErrorCode.BAD_REQUEST


def test_a_worker_gets_the_request_and_never_the_key():
    request_bytes = build_worker_request(
        callers.PlatformDialect(), make_headers()
    )
    head, _, body = request_bytes.partition(b'\r\n\r\n')
    lines = head.split(b'\r\n')
    assert lines[0] == b'POST /lots/2f?x=1 HTTP/1.1'
    assert body == b'text'
    assert b'k1' not in request_bytes
    assert b'x-api-key' not in head
    assert b'forged' not in head
    assert b'x-hop' not in head
    assert b'attempt-id: 9c41' in lines
    assert b'tenant: club' in lines
    assert b'expect-instance: i-7' in lines
    assert b'deadline-ms: 7250' in lines
    assert b'last-event-id: 14' in lines
    assert b'prompt-prefix: 5c:800' in lines
    assert b'host: a.example' in lines


def test_a_smuggled_length_is_replaced_by_the_true_one():
    request_bytes = build_worker_request(
        callers.PlatformDialect(),
        make_headers(content_length=b'0', transfer_encoding=b'chunked'),
        body=b'GET /bids/ HTTP/1.1\r\n\r\n',
    )
    head, _, _ = request_bytes.partition(b'\r\n\r\n')
    assert head.count(b'content-length: 23') == 1
    assert b'transfer-encoding' not in head


def test_an_answer_gives_the_load_and_whether_the_request_ran():
    dialect = callers.PlatformDialect()
    metadata = dialect.parse_answer(
        answerreader.Answer(
            status=503,
            headers=[
                (b'not-executed', b'1'),
                (b'instance-load', b'3,1,8'),
            ],
        )
    )
    assert metadata.not_run
    assert metadata.load == requests.EndpointLoad(running=3, waiting=1)
    assert not dialect.parse_answer(
        answerreader.Answer(status=503, headers=[])
    ).not_run
    assert dialect.parse_answer(
        answerreader.Answer(status=421, headers=[])
    ).not_run


def test_names_of_the_platform_appear_in_its_package_only():
    names = {
        'Attempt-Id',
        'Deadline-Ms',
        'Response-Seal',
        'Not-Executed',
        'Instance-Load',
        'Server-Leaving',
        'Server-Limit',
        'Expect-Instance',
        'Token-Usage',
        'X-Api-Key',
        'path-prefix',
        'target-latency-ms',
        'traffic-split',
        'engine-profile',
        'member-nodes',
        'prestaged',
        'fault-domain',
        'close-mode',
        '/-/',
    }
    pattern = re.compile(
        '|'.join(re.escape(name) for name in names), re.IGNORECASE
    )
    for folder in ('packages', 'soak', 'bench', 'demo'):
        for source in pathlib.Path(folder).rglob('*.py'):
            found = pattern.search(source.read_text())
            assert found is None, f'{source}: {found.group()}'


@pytest.mark.parametrize(
    ('text', 'parts'),
    [
        ('', ()),
        ('5c:800', ()),
        ('5c:800,91:410,e4:250', ('5c', '91')),
        (' 5c:800 , 91:410,e4:250', ('5c', '91')),
        ('5c:800,5c:800,e4:250', ('5c',)),
        (',:7,' + 'f' * 65 + ':1,5c,e4:250', ('5c',)),
        (','.join(f'{n:x}:1' for n in range(40)), None),
    ],
)
def test_shared_parts_of_a_prompt_leave_out_its_own_part(text, parts):
    """The last part belongs to the request; bad entries are left out."""
    caller = callers.PlatformDialect().parse_request(
        'POST', b'/lots/1', [(b'prompt-prefix', text.encode())]
    )
    if parts is None:
        parts = tuple(f'{n:x}' for n in range(callers.MAX_SHARED_PARTS))
    assert caller.shared_parts == parts
