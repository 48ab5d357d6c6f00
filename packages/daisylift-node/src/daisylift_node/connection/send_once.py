"""Prevents the HTTP client from repeating a request on its own."""

from aiohttp import ClientError, ClientRequest, ClientResponse
from aiohttp.client_middlewares import ClientHandlerType


class SecondSendError(ClientError):
    """The outcome of the first send is unknown, and the library tried to repeat it."""


class SendOnce:
    """Client middleware for one request; each request needs a new instance.

    When a kept connection breaks, aiohttp repeats requests whose method is idempotent
    in HTTP, including PUT and DELETE. daisylift decides itself whether a repeat is
    safe, so the repeat is refused here.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: ClientRequest, handler: ClientHandlerType
    ) -> ClientResponse:
        """Allow the first send; raise SecondSendError on the next."""
        if self._sent:
            raise SecondSendError('the connection broke before a response arrived')
        self._sent = True
        return await handler(request)
