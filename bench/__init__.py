"""Measurements, most against naive versions, each with a results table."""
