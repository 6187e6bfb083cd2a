"""A seeded soak: real nodes under faults that come from outside them."""
