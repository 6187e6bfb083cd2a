"""The node daemon, which wires all parts together."""
