"""Request routing: queueing, limits, placement, retries and buffering."""
