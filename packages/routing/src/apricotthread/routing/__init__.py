"""Decisions for each request: queues, limits, placement, retries, buffers."""
