"""Stand-ins for engines, plain workers, callers, disks and links."""
