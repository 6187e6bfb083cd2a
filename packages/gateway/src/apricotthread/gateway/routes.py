"""Finds the route of a request, and the account of its key."""

import hashlib

from apricotthread.base import environment
from apricotthread.control import routetables


class RouteIndex:
    """The routes of one table by host and prefix, the keys by digest."""

    def __init__(self, *, table: routetables.RouteTable) -> None:
        self.table = table
        self._route_by_place = {
            (route.host, route.prefix): route for route in table.routes
        }
        self._account_by_digest = {
            _digest(key): account
            for account in table.accounts
            for key in account.keys
        }
        self._service_by_name = table.service_by_name()

    def find_route(self, host: str, path: str) -> routetables.Route | None:
        """Return the route with the longest prefix that begins the path."""
        end = len(path)
        while (end := path.rfind('/', 0, end)) >= 0:
            route = self._route_by_place.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_account(self, key: str) -> routetables.Account | None:
        """Return the account that holds a key."""
        return self._account_by_digest.get(_digest(key))

    def pick_service(
        self, route: routetables.Route, env: environment.Environment
    ) -> routetables.Service:
        """Return a service of the route, by the weights of its split."""
        if len(route.shares) == 1:
            return self._service_by_name[route.shares[0].service]
        point = env.random.random() * sum(s.weight for s in route.shares)
        for share in route.shares:
            point -= share.weight
            if point < 0:
                break
        return self._service_by_name[share.service]


def _digest(key: str) -> bytes:
    return hashlib.blake2b(key.encode(), digest_size=16).digest()
