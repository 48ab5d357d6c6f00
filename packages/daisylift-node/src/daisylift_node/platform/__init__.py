"""Translation between the platform's wire formats and the product's own types.

Only this package knows the platform's names of headers, fields and paths. It
makes no decisions.
"""

from daisylift_node.platform.directory import directory_reply, parse_directory_query
from daisylift_node.platform.documents import PlatformDocuments
from daisylift_node.platform.headers import PlatformDialect
from daisylift_node.platform.store import StoreClient

__all__ = [
    'PlatformDialect',
    'PlatformDocuments',
    'StoreClient',
    'directory_reply',
    'parse_directory_query',
]
