"""Ties the application's life to the event loop of the process."""

import aiomisc

from daisylift_node.process.application import Application


class ApplicationService(aiomisc.Service):
    """Starts the application with the loop and stops it gracefully with it."""

    application: Application

    async def start(self) -> None:
        """Start all components of the application."""
        await self.application.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all components of the application, in reverse order."""
        await self.application.stop()
