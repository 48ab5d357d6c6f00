"""Updates the statistics of a backend server and its region from a response."""

from loguru import logger

from daisylift.decisions.placement import Placement
from daisylift.decisions.work_estimates import RouteWorkEstimator
from daisylift_node.connection.server_connection import ServerAnswer
from daisylift_node.request.dialect import AnswerTerms

SERVER_ERROR = 500


def learn(
    placed: Placement,
    work: RouteWorkEstimator,
    answer: ServerAnswer,
    terms: AnswerTerms,
    took: float,
    has_object: bool,
    now: float,
) -> None:
    """Update load, health, speed and warmth; ``took`` is the duration in seconds."""
    stats = placed.stats
    if terms.is_other_server:
        stats.record_failure(now)
        stats.mark_displaced()
        logger.bind(server=placed.server.id).info(
            'server displaced: another server answered at its address'
        )
        return
    if terms.load is not None:
        stats.record_report(terms.load, now)
        placed.region_stats.record_report(terms.load.per_slot, now)
    if terms.is_not_run or answer.status >= SERVER_ERROR:
        stats.record_failure(now)
        return
    stats.record_success(now)
    if terms.load is not None and terms.load.waiting:
        return  # the duration includes queueing, so it does not measure the work
    warm = work.record_run(took, len(answer.body))
    stats.record_response(took, work.warm_seconds if warm else work.cold_seconds)
    if has_object:
        placed.region_stats.record_run(warm, placed.was_seen)
