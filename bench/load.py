"""Open-loop load generator: sends requests on schedule, however slow responses are."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp

REQUEST_TIMEOUT_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What to send: method and path, the rate, and the duration."""

    method: str
    path: str
    rate_per_second: float
    seconds: float
    seed: int = 1


@dataclass(slots=True)
class LoadResult:
    """Outcomes of the requests, and latencies of complete responses in seconds.

    Latencies count from the scheduled time of the request.
    """

    latencies: list[float] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)


async def run_load(plan: LoadPlan, base_url: Callable[[], str]) -> LoadResult:
    """Send the plan's requests; ``base_url`` is called for each of them."""
    result = LoadResult()
    rng = random.Random(plan.seed)
    tasks = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        start = at = time.monotonic()
        while at < start + plan.seconds:
            at += rng.expovariate(plan.rate_per_second)
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            tasks.append(
                asyncio.create_task(_send(session, plan, base_url(), at, result))
            )
        await asyncio.gather(*tasks)
    return result


async def _send(
    session: aiohttp.ClientSession,
    plan: LoadPlan,
    base_url: str,
    due_at: float,
    result: LoadResult,
) -> None:
    try:
        async with session.request(
            plan.method,
            f'{base_url}{plan.path}',
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS),
        ) as response:
            await response.read()
            outcome = response.headers.get('Daisylift-Outcome', 'answered')
    except (aiohttp.ClientError, TimeoutError):
        outcome = 'failed'
    result.outcomes[outcome] += 1
    if outcome == 'answered':
        result.latencies.append(time.monotonic() - due_at)
