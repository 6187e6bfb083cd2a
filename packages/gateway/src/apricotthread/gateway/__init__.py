"""The HTTP gateway: routes, forwards and retries callers' requests."""
