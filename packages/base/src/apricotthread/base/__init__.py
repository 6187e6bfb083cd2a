"""Settings, errors, logs, timers and metrics shared by all packages."""
