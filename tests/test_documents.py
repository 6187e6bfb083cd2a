"""JSON documents mean the same in every writing, or are refused."""

import json

import hypothesis
import msgspec
import pytest

from apricotthread.base import decoding
from apricotthread.base import documents
from apricotthread.base import errors
from apricotthread.callers import bodies
from apricotthread.endpoints import announcements
from apricotthread.platform import configs
from apricotthread.platform import instances
from apricotthread.platform import orders
from tests import jsonwriting
from tests import test_odd_announcements
from tests import test_platform

# Texts outside ASCII, in names that are read and in some that are not.
CONFIG = json.loads(test_platform.encode(test_platform.CONFIG))
CONFIG['routes'][0]['name'] = 'précio \U0001f33e'
CONFIG['routes'][0]['comment'] = {'früher': [1.5, 'é', 10**25]}
EXPECTED_CONFIG = configs.read_config(json.dumps(CONFIG).encode())
EXPECTED_HEARTBEAT = instances.read_heartbeat(
    'i-1', json.dumps(test_platform.HEARTBEAT).encode()
)
CHAT = {
    'model': 'm',
    'messages': [{'role': 'user', 'content': 'día/1'}],
    'max_tokens': 70,
}
EXPECTED_CHAT = bodies.parse_body(json.dumps(CHAT).encode(), chat=True)
ANNOUNCEMENT_READER = documents.DocumentReader(
    document_type=announcements.Announcement
)
ANNOUNCEMENT = test_odd_announcements.ANNOUNCEMENT
EXPECTED_ANNOUNCEMENT = ANNOUNCEMENT_READER.read(
    json.dumps(ANNOUNCEMENT).encode()
)


@hypothesis.given(document=jsonwriting.documents(CONFIG))
def test_a_configuration_means_the_same_in_every_writing(document):
    """Guards against valid configurations that are refused."""
    assert configs.read_config(document) == EXPECTED_CONFIG


@hypothesis.given(document=jsonwriting.documents(test_platform.HEARTBEAT))
def test_a_heartbeat_means_the_same_in_every_writing(document):
    assert instances.read_heartbeat('i-1', document) == EXPECTED_HEARTBEAT


@hypothesis.given(document=jsonwriting.documents({'born': 1785751950000}))
def test_a_farewell_means_the_same_in_every_writing(document):
    """Guards against the farewell of an earlier start that ends this one."""
    assert instances.read_leave(document) == 1785751950000


@hypothesis.given(document=jsonwriting.documents({'pace': 2, 'busy': False}))
def test_a_report_means_the_same_in_every_writing(document):
    assert orders._read_pace(document).pace == 2.0


@hypothesis.given(document=jsonwriting.documents(CHAT))
def test_a_chat_request_means_the_same_in_every_writing(document):
    assert bodies.parse_body(document, chat=True) == EXPECTED_CHAT


@hypothesis.given(document=jsonwriting.documents(ANNOUNCEMENT))
def test_an_announcement_means_the_same_in_every_writing(document):
    assert ANNOUNCEMENT_READER.read(document) == EXPECTED_ANNOUNCEMENT


def spoil(old, new):
    """Return the configuration with some bytes replaced once."""
    document = json.dumps(CONFIG).encode()
    assert old in document
    return document.replace(old, new, 1)


def set_service(name):
    """Return the configuration with a service beside a split."""
    config = json.loads(json.dumps(CONFIG))
    assert config['routes'][0]['traffic-split']
    config['routes'][0]['service'] = name
    return json.dumps(config).encode()


INVALID = {
    'an unknown service beside a split': set_service('ghost'),
    'a byte that is no UTF-8, in an unread value': spoil(
        b'"comment"', b'"x": "\xc3", "comment"'
    ),
    'a byte that is no UTF-8, in an unread name': spoil(
        b'"comment"', b'"comm\xe9nt"'
    ),
    'UTF-16': json.dumps(CONFIG).encode('utf-16'),
    'half a surrogate pair': spoil(b'"comment"', b'"x": "\\ud800", "comment"'),
    'a version twice': spoil(b'"version"', b'"version": 9, "version"'),
    'a host twice': spoil(b'"host"', b'"host": "b.example", "host"'),
    'a name twice, in an unread object': spoil(
        b'"comment"', b'"x": {"y": 1, "y": 2}, "comment"'
    ),
    'a number that is none': spoil(b'"comment"', b'"x": NaN, "comment"'),
    'a whole number with a fraction': spoil(
        b'"version": 7', b'"version": 7.5'
    ),
    'a second document': json.dumps(CONFIG).encode() + b'{}',
}


@pytest.mark.parametrize('kind', INVALID)
def test_a_configuration_that_is_none_is_refused(kind):
    """Guards against invalid configurations that are acknowledged."""
    with pytest.raises(errors.ApricotError) as refused:
        configs.read_config(INVALID[kind])
    assert refused.value.code is errors.ErrorCode.TABLE


@pytest.mark.parametrize('place', [b'"x": "\xc3"', b'"\xe9": 1'])
def test_a_heartbeat_that_is_no_utf_8_is_refused(place):
    """Guards against bytes that no reader checks, as nobody reads them."""
    document = json.dumps(test_platform.HEARTBEAT).encode()
    with pytest.raises(errors.ApricotError):
        instances.read_heartbeat('i-1', document[:-1] + b', ' + place + b'}')


def test_a_known_service_beside_a_split_is_allowed():
    table = configs.read_config(set_service('bids'))
    assert table.routes[0].shares == EXPECTED_CONFIG.routes[0].shares


@pytest.mark.parametrize(
    'text', ['1e999999999', '-1e999999999', '7.0000000000000000000001', '1e-9']
)
def test_a_number_that_is_not_whole_is_not_taken_for_one(text):
    reader = documents.DocumentReader(document_type=list[int])
    with pytest.raises(decoding.DECODE_ERRORS):
        reader.read(f'[{text}]'.encode())


def test_the_largest_integers_keep_their_value():
    reader = documents.DocumentReader(document_type=list[decoding.Integer])
    for number in (2**63 - 1, -(2**63) + 1, 2**53 + 1):
        assert reader.read(f'[{number}.0, 1.0]'.encode()) == [number, 1]
    with pytest.raises(msgspec.DecodeError):
        reader.read(f'[{2**63}.0]'.encode())


@pytest.mark.parametrize(
    'address', ['10.128.0.9:08080', '10.128.0.9:8080', '10.128.0.9:0008080']
)
def test_an_address_is_the_same_in_every_writing(address):
    document = json.dumps(test_platform.HEARTBEAT | {'address': address})
    if len(address.rpartition(':')[2]) > 5:
        with pytest.raises(errors.ApricotError):
            instances.read_heartbeat('i-1', document.encode())
        return
    read = instances.read_heartbeat('i-1', document.encode())
    assert read.address == EXPECTED_HEARTBEAT.address
