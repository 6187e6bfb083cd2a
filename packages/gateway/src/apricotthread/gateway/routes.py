"""Looks up the route of a request and the account of an API key."""

import hashlib

from apricotthread.base import environment
from apricotthread.control import routetables


class RouteIndex:
    """Indexes a route table by host and path prefix, and by key digest."""

    def __init__(self, *, table: routetables.RouteTable) -> None:
        self.table = table
        self._route_by_host_and_prefix = {
            route.key: route for route in table.routes
        }
        self._account_by_digest = {
            _digest(key): account
            for account in table.accounts
            for key in account.keys
        }
        self._service_by_name = table.service_by_name()

    def find_route(self, host: str, path: str) -> routetables.Route | None:
        """Return the route with the longest prefix of the path, or None.

        Only prefixes that end with a slash are found. Host and path are
        normalized ones.
        """
        end = len(path)
        while (end := path.rfind('/', 0, end)) >= 0:
            route = self._route_by_host_and_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def find_account(self, key: str) -> routetables.Account | None:
        """Return the account that holds an API key, or None."""
        return self._account_by_digest.get(_digest(key))

    def pick_service(
        self, route: routetables.Route, env: environment.Environment
    ) -> routetables.Service:
        """Pick a service of a route at random, weighted by its shares."""
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
