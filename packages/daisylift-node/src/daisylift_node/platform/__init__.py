"""Translates between the users' platform and the product; decides nothing."""

from daisylift_node.platform.directory import answer_document, read_question
from daisylift_node.platform.documents import PlatformDocuments
from daisylift_node.platform.headers import PlatformDialect
from daisylift_node.platform.store import StoreClient

__all__ = [
    'PlatformDialect',
    'PlatformDocuments',
    'StoreClient',
    'answer_document',
    'read_question',
]
