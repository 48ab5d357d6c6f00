"""Errors of the shared layer; each outer layer turns them into its own."""


class DaisyliftError(Exception):
    """Base of every error that daisylift raises on purpose."""


class PolicyError(DaisyliftError):
    """A policy or a change to it is not valid; nothing was changed."""


class UnknownServiceError(DaisyliftError):
    """The policy has no service of this name."""

    def __init__(self, service: str) -> None:
        super().__init__(f'unknown service {service!r}')
        self.service = service
