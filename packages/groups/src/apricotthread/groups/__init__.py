"""Formation, repair and release of groups of engine VMs."""
