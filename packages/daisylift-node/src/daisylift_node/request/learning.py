"""Updates the statistics of a backend server and its region from a response."""

from loguru import logger

from daisylift.decisions.placement import Placement
from daisylift.decisions.work_estimates import RouteWork
from daisylift_node.connection.server_connection import ServerResponse
from daisylift_node.request.dialect import ResponseMetadata

SERVER_ERROR = 500


def learn_from_response(
    placement: Placement,
    work: RouteWork,
    response: ServerResponse,
    metadata: ResponseMetadata,
    duration_seconds: float,
    has_object: bool,
    now: float,
) -> None:
    """Update load, health, speed and warmth after a response."""
    stats = placement.stats
    if metadata.is_other_server:
        stats.failed(now)
        stats.displaced()
        logger.bind(server=placement.server.id).info(
            'server displaced: another server answered at its address'
        )
        return
    if metadata.load is not None:
        stats.reported(metadata.load, now)
        placement.record.reported(metadata.load.per_slot, now)
    if metadata.was_not_run or response.status >= SERVER_ERROR:
        stats.failed(now)
        return
    stats.succeeded(now)
    if metadata.load is not None and metadata.load.waiting:
        return  # the duration includes queueing, so it does not measure the work
    warm = work.learn(duration_seconds, len(response.body))
    stats.answered(duration_seconds, work.warm_seconds if warm else work.cold_seconds)
    if has_object:
        placement.record.ran(warm, placement.was_seen)
