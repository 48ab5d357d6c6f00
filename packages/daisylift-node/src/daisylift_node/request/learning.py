"""Updates the statistics of a backend server and its region from a response."""

from loguru import logger

from daisylift.decisions.placement import Placement
from daisylift.decisions.work_estimates import RouteWork
from daisylift_node.connection.server_connection import ServerResponse
from daisylift_node.request.dialect import ResponseMetadata

SERVER_ERROR = 500


def learn_from_response(
    placed: Placement,
    work: RouteWork,
    answer: ServerResponse,
    terms: ResponseMetadata,
    took: float,
    has_object: bool,
    now: float,
) -> None:
    """Update load, health, speed and warmth; ``took`` is the duration in seconds."""
    stats = placed.stats
    if terms.is_other_server:
        stats.failed(now)
        stats.displaced()
        logger.bind(server=placed.server.id).info(
            'server displaced: another server answered at its address'
        )
        return
    if terms.load is not None:
        stats.reported(terms.load, now)
        placed.record.reported(terms.load.per_slot, now)
    if terms.is_not_run or answer.status >= SERVER_ERROR:
        stats.failed(now)
        return
    stats.succeeded(now)
    if terms.load is not None and terms.load.waiting:
        return  # the duration includes queueing, so it does not measure the work
    warm = work.learn(took, len(answer.body))
    stats.answered(took, work.warm_seconds if warm else work.cold_seconds)
    if has_object:
        placed.record.ran(warm, placed.was_seen)
