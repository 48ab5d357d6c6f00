"""Updates the statistics of a backend server and its region from a response."""

from loguru import logger

from daisylift.decisions.placement import COLD_SLOWDOWN_FACTOR, Placement
from daisylift.decisions.server_pace import PaceEvidence
from daisylift.decisions.work_estimates import RouteWorkEstimator
from daisylift_node.connection.server_connection import ServerResponse
from daisylift_node.request.dialect import ResponseMetadata

SERVER_ERROR = 500
RESPONSE_SOURCE = 'response'


def learn_from_response(
    placement: Placement,
    work: RouteWorkEstimator,
    response: ServerResponse,
    metadata: ResponseMetadata,
    duration_seconds: float,
    has_object: bool,
    now: float,
) -> None:
    """Update load, health, speed and warmth after a response."""
    stats = placement.stats
    if metadata.is_other_server:
        stats.record_failure(now)
        stats.mark_displaced()
        logger.bind(server=placement.server.id).info(
            'server displaced: another server answered at its address'
        )
        return
    if metadata.load is not None:
        stats.record_report(metadata.load, now)
        placement.region_stats.record_report(metadata.load.per_slot, now)
    if metadata.was_not_run or response.status >= SERVER_ERROR:
        stats.record_failure(now)
        return
    stats.record_success(now)
    if metadata.load is not None and metadata.load.waiting:
        return  # the duration includes queueing, so it does not measure the work
    seconds = _usual_seconds(placement, duration_seconds, now)
    warm = work.record_run(seconds, len(response.body))
    stats.record_response(seconds, work.warm_seconds if warm else work.cold_seconds)
    if has_object:
        placement.region_stats.record_run(warm, placement.was_seen)


def pace_evidence(
    placement: Placement,
    work: RouteWorkEstimator,
    response: ServerResponse,
    metadata: ResponseMetadata,
    duration_seconds: float,
    now: float,
) -> PaceEvidence:
    """Return what the response says of the load that the server bears."""
    if metadata.was_not_run:
        return PaceEvidence(is_refusal=True)
    if response.status >= SERVER_ERROR:
        return PaceEvidence(is_failure=True)
    load = metadata.load
    if load is not None and load.waiting:
        usual_load = max(1.0, placement.region_stats.load_per_slot(now))
        return PaceEvidence(excess_load=load.per_slot - usual_load)
    usual = work.warm_seconds if placement.was_seen else work.cold_seconds
    if placement.stats.is_cold(now - duration_seconds):
        usual *= COLD_SLOWDOWN_FACTOR
    seconds = _usual_seconds(placement, duration_seconds, now)
    return PaceEvidence(time_ratio=seconds / usual)


def _usual_seconds(placement: Placement, duration_seconds: float, now: float) -> float:
    """Return how long the run would have taken at the usual speed of the machine."""
    return duration_seconds / placement.stats.slowdown(duration_seconds, now)


def learn_availability(
    placement: Placement,
    metadata: ResponseMetadata,
    node_count: int,
    spread: float,
    sent_at: float,
    now: float,
) -> bool:
    """Record whether the server takes more requests; return whether that changed.

    ``spread`` is a random number from 0 to 1. A response of another server at the
    address says nothing of this one.
    """
    if metadata.is_other_server:
        return False
    server, availability = placement.server, placement.stats.availability
    if not metadata.was_not_run:
        availability.record_run(sent_at)
    if not metadata.says_something:
        return False
    log = logger.bind(server=server.id, service=server.service)
    if metadata.unreadable_statements:
        log.bind(headers=metadata.unreadable_statements).warning(
            'cannot decode what a server says of new requests, ignored'
        )
    is_changed = False
    if metadata.is_leaving and availability.record_leaving():
        log.bind(source=RESPONSE_SOURCE).info('server leaves')
        is_changed = True
    if metadata.pause_seconds and availability.record_pause(
        metadata.pause_seconds, node_count, spread, now
    ):
        log.bind(
            seconds=metadata.pause_seconds,
            resumes_in=round(availability.resumes_at - now, 3),
        ).info('server takes no requests for a while')
        is_changed = True
    return is_changed


def learn_limit(
    placement: Placement, metadata: ResponseMetadata, sent_at: float, now: float
) -> bool:
    """Update the server's request rate limit; return whether it has changed.

    Only a stamped response without a limit withdraws it: an intermediate failure may
    lack the server's headers.
    """
    if metadata.is_other_server:
        return False
    if metadata.has_unreadable_limit:
        logger.bind(server=placement.server.id).warning(
            'cannot decode the request rate limit of a server, ignored'
        )
        return False
    per_second = metadata.limit_per_second
    if per_second is None and not metadata.is_stamped:
        return False
    return placement.stats.limit.record_response(per_second, sent_at, now)
