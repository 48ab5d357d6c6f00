"""What lives as long as the process: application, timers, metrics, platform."""
