"""Settings, errors, logs, timers and metrics shared by every part."""
