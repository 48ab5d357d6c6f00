"""Errors of the shared layer; outer layers convert them to their own errors."""


class DaisyliftError(Exception):
    """Base class of the errors that daisylift raises itself."""


class PolicyError(DaisyliftError):
    """A policy or a change is invalid; nothing was changed."""


class UnknownServiceError(DaisyliftError):
    """The policy has no service with this name."""

    def __init__(self, service: str) -> None:
        super().__init__(f'unknown service {service!r}')
        self.service = service
