"""The HTTP interface for operators, and health and metrics routes."""
