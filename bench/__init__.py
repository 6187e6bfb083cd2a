"""Measurements against naive versions, each with its own table."""
