"""Small makers of test data."""

from typing import Any


def policy_document() -> dict[str, Any]:
    """Return a small valid policy: two regions, one service, three seats."""
    servers = [
        {
            'name': f'till-{number}',
            'host': '127.0.0.1',
            'port': 9000 + number,
            'failure_domain': domain,
            'slots': 4,
            'connections': 8,
        }
        for number, domain in enumerate(('arusha-1', 'arusha-2', 'dar-1'))
    ]
    return {
        'failure_domains': [
            {'name': 'arusha-1', 'region': 'arusha'},
            {'name': 'arusha-2', 'region': 'arusha'},
            {'name': 'dar-1', 'region': 'dar'},
        ],
        'roster': [
            {'ordinal': 0, 'failure_domain': 'arusha-1'},
            {'ordinal': 1, 'failure_domain': 'arusha-2'},
            {'ordinal': 2, 'failure_domain': 'dar-1'},
        ],
        'services': [{'name': 'till', 'servers': servers}],
    }
