"""The HTTP interface for callers of model services and plain services."""
