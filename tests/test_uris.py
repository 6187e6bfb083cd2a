"""A host is the same in every writing that URLs allow."""

import json

import pytest

from apricotthread.base import errors
from apricotthread.base import uris
from apricotthread.gateway import routes
from apricotthread.platform import callers
from apricotthread.platform import configs
from tests import test_platform

WRITINGS = (
    'rota.example',
    'Rota.Example',
    'ROTA.EXAMPLE:80',
    'rota.example.',
    'rota.example.:8080',
)


def make_config(*route_hosts):
    """Return a configuration, and give its routes these hosts in order."""
    config = json.loads(test_platform.encode(test_platform.CONFIG))
    for route, host in zip(config['routes'], route_hosts, strict=False):
        route['host'] = host
    return config


@pytest.mark.parametrize('of_route', WRITINGS)
@pytest.mark.parametrize('of_caller', WRITINGS)
def test_a_route_is_found_however_its_host_is_written(of_route, of_caller):
    """Guards against 404 for all requests of a route at a host in capitals."""
    config = make_config(of_route)
    index = routes.RouteIndex(
        table=configs.read_config(test_platform.encode(config))
    )
    prefix = config['routes'][0]['path-prefix']
    caller = callers.PlatformDialect().parse_request(
        'POST', prefix.encode() + b'2f', [(b'host', of_caller.encode())]
    )
    route = index.find_route(caller.host, caller.path)
    assert route is not None
    assert route.name == config['routes'][0]['name']


@pytest.mark.parametrize('of_route', WRITINGS)
def test_two_routes_at_one_host_and_prefix_are_refused(of_route):
    """Guards against a route that another one hides."""
    config = make_config('rota.example', of_route)
    config['routes'][1]['path-prefix'] = config['routes'][0]['path-prefix']
    with pytest.raises(errors.ApricotError) as refused:
        configs.read_config(test_platform.encode(config))
    assert refused.value.code is errors.ErrorCode.TABLE


def test_the_port_of_a_literal_address_is_no_part_of_the_host():
    assert uris.normalize_host('[2001:DB8::1]:80') == '[2001:db8::1]'
    assert uris.normalize_host('[::1]') == '[::1]'
