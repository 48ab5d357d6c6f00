"""Finds the tenant of a request by its key, and decides whether it may run.

Load pattern: any. The keys of all tenants are held as SHA-256 digests in one table
that is built once for each desired state, so a lookup costs the same with 10,000 keys
as with one. Neither the table nor its timing depends on the text of a key.
"""

import enum
import hashlib
import hmac
from collections.abc import Iterable
from dataclasses import dataclass

from daisylift.models.desired_state import Tenant


class KeyRefusal(enum.Enum):
    """Why a request is not accepted for its key."""

    MISSING = 'missing'
    MALFORMED = 'malformed'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Credential:
    """The key that a caller presents, as a digest; None if it is malformed."""

    key_digest: bytes | None


def digest_key(key: str) -> bytes:
    """Return the SHA-256 digest by which a key is known."""
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).digest()


class TenantKeys:
    """The keys of all tenants of one desired state.

    Without tenants no request needs a key. A key that two tenants hold is accepted for
    neither, as it does not tell whose the request is.
    """

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self._holder_by_digest: dict[bytes, tuple[bytes, Tenant]] = {}
        self.ambiguous_digests: set[bytes] = set()
        self.are_required = False
        for tenant in tenants:
            self.are_required = True
            self._add(tenant)
        for digest in self.ambiguous_digests:
            del self._holder_by_digest[digest]

    def _add(self, tenant: Tenant) -> None:
        for digest in tenant.key_digests:
            if digest in self._holder_by_digest:
                self.ambiguous_digests.add(digest)
            self._holder_by_digest[digest] = (digest, tenant)

    def authenticate(
        self, credential: Credential | None, is_public: bool
    ) -> Tenant | KeyRefusal | None:
        """Return the tenant that holds the key, or why the request is refused.

        Return None if the request belongs to no tenant and needs no key. A public
        route needs none, but an unknown one is refused there too.
        """
        if not self.are_required:
            return None
        if credential is None:
            return None if is_public else KeyRefusal.MISSING
        if credential.key_digest is None:
            return None if is_public else KeyRefusal.MALFORMED
        holder = self._holder_by_digest.get(credential.key_digest)
        if holder is None or not hmac.compare_digest(holder[0], credential.key_digest):
            return KeyRefusal.UNKNOWN
        return holder[1]
