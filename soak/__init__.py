"""A seeded soak test: real node processes under injected faults."""
