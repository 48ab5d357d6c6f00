"""Runs the application as a service of the process's event loop."""

import aiomisc

from daisylift_node.process.application import Application


class ApplicationService(aiomisc.Service):
    """Starts the application with the event loop and stops it gracefully."""

    application: Application

    async def start(self) -> None:
        """Start all components of the application."""
        await self.application.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Run the planned stop of the application."""
        await self.application.stop()
