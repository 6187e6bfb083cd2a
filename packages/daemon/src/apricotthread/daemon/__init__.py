"""The node daemon, which creates and connects all components."""
