"""Requests passed through to endpoints, with all that this decides."""
