"""Health checks and metrics for the platform."""
