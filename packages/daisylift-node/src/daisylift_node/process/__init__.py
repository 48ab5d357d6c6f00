"""Parts that live as long as the process: application, timers, metrics, platform."""
