"""A demonstration of the whole system on loopback."""
