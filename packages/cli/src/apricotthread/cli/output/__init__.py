"""Formatting of the output for terminals."""
