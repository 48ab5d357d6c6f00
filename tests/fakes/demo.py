"""Demo of the main features, with fakes and three nodes as separate processes."""

import argparse
import json
import sys
import tempfile
import time
import urllib.error
import urllib.request
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.fakes.fleet import Fleet

EXAMPLES = Path(__file__).resolve().parents[2] / 'examples'
DOWNLOAD_BYTES = 2_000_000
REQUEST_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """The response that a caller received."""

    status: int
    outcome: str
    body: bytes


def call(
    url: str,
    method: str = 'GET',
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> CallerResponse:
    """Send one request as a caller."""
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(
            request, timeout=REQUEST_TIMEOUT_SECONDS
        ) as response:
            return _response(response)
    except urllib.error.HTTPError as error:
        return _response(error)


def _response(response: Any) -> CallerResponse:
    return CallerResponse(
        status=response.status,
        outcome=response.headers.get('Daisylift-Outcome', ''),
        body=response.read(),
    )


def main_job(fleet: Fleet) -> None:
    """Send a lookup, a browse, the same payment twice and a download."""
    first = fleet.nodes[0].caller_url
    found = json.loads(call(f'{first}/v1/lookup?service=catalogue').body)
    addresses = [vm['address'] for vm in found['entry_vms']]
    print(f'look-up of catalogue at {first}: use {", ".join(addresses)}')
    entry = f'http://{addresses[0]}/v1/services'
    browse = call(f'{entry}/catalogue/designs/12')
    print(f'browse: {browse.status} {browse.outcome}, {browse.body.decode()}')
    _pay_twice(fleet, entry)
    download = call(f'{entry}/plates/download/{DOWNLOAD_BYTES}')
    print(f'download: {download.status}, {len(download.body)} bytes')
    if len(download.body) != DOWNLOAD_BYTES:
        sys.exit(
            f'download truncated: got {len(download.body)} of {DOWNLOAD_BYTES} bytes'
        )


def _pay_twice(fleet: Fleet, entry: str) -> None:
    headers = {'Idempotency-Key': 'order-1001', 'X-Tag': 'order-1001'}
    for attempt in ('first', 'second'):
        paid = call(f'{entry}/till/pay', 'POST', b'{"amount": 90000}', headers)
        print(f'payment, sent the {attempt} time: {paid.status} {paid.outcome}')
    print(f'payment: run {executions(fleet, "POST /pay order-1001")} time(s)')


def executions(fleet: Fleet, what: str) -> int:
    """Return how often the backend servers ran the given request."""
    total = 0
    for port in fleet.server_ports().values():
        state = json.loads(call(f'http://127.0.0.1:{port}/control').body)
        total += state['executions'].get(what, 0)
    return total


def main() -> None:
    """Run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--stay', action='store_true', help='keep everything running')
    arguments = parser.parse_args()
    policy = json.loads((EXAMPLES / 'kanga' / 'policy.json').read_text())
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(directory=Path(directory), policy=policy)
        try:
            fleet.start(['arusha-1', 'dar-1', 'mwanza-1'])
            fleet.put_policy()
            main_job(fleet)
            if arguments.stay:
                _stay(fleet)
        finally:
            fleet.stop()


def _stay(fleet: Fleet) -> None:
    for node in fleet.nodes:
        print(f'{node.vm}: curl {node.caller_url}/v1/lookup?service=catalogue')
    try:
        while True:
            time.sleep(1.0)
    except KeyboardInterrupt:
        print('stopping')


if __name__ == '__main__':
    main()
