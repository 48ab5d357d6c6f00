"""Converts outcomes and state into messages of the operators' schema."""

from pydantic import ValidationError

from daisylift.decisions.configuration import ChangeProblem
from daisylift.decisions.shifts import Hold, Shift, points_at_stage
from daisylift.decisions.steering import POINTS
from daisylift.schema import operator_pb2 as pb
from daisylift_node.version.change_writer import (
    Accepted,
    ChangeOutcome,
    Conflicted,
    NotConfirmed,
    Refused,
)

PROBLEM_CODES = {
    ChangeProblem.MALFORMED: pb.PROBLEM_MALFORMED,
    ChangeProblem.UNKNOWN_NAME: pb.PROBLEM_UNKNOWN_NAME,
    ChangeProblem.UNSERVABLE: pb.PROBLEM_UNSERVABLE,
    ChangeProblem.OVER_CAP: pb.PROBLEM_OVER_CAP,
    ChangeProblem.WRONG_STATE: pb.PROBLEM_WRONG_STATE,
    ChangeProblem.TOO_MANY: pb.PROBLEM_TOO_MANY,
    ChangeProblem.OPERATION_REUSED: pb.PROBLEM_OPERATION_REUSED,
}


def change_reply(outcome: ChangeOutcome) -> pb.ChangeReply:
    """Return the reply to an operator for the outcome of a change."""
    match outcome:
        case Accepted(version=version):
            return pb.ChangeReply(accepted=pb.Accepted(version=version))
        case Conflicted(current_version=version):
            conflict = pb.VersionConflict(current_version=version)
            return pb.ChangeReply(conflict=conflict)
        case Refused(problem=problem, violations=violations):
            invalid = pb.InvalidChange(
                violations=violations, problem=PROBLEM_CODES[problem]
            )
            return pb.ChangeReply(invalid=invalid)
        case NotConfirmed(reason=reason, may_have_happened=may_have_happened):
            unavailable = pb.PlatformUnavailable(
                reason=reason, may_have_happened=may_have_happened
            )
            return pb.ChangeReply(unavailable=unavailable)


def malformed_reply(error: ValidationError) -> pb.ChangeReply:
    """Return the reply for a request that fails validation."""
    violations = tuple(
        f'{".".join(str(part) for part in violation["loc"])}: {violation["msg"]}'
        for violation in error.errors(include_input=False)
    )
    return change_reply(Refused(ChangeProblem.MALFORMED, violations))


def shift_status(shift: Shift, hold: Hold | None) -> pb.ShiftStatus:
    """Return the status of a shift for operators; shares are from 0 to 1."""
    return pb.ShiftStatus(
        shift=shift.name,
        service=shift.service,
        kind=shift.kind.value,
        state=shift.state.value,
        sources=shift.sources,
        destinations=shift.destinations,
        stage=shift.stage,
        moved_share=points_at_stage(shift, shift.stage) / POINTS,
        target_share=shift.target / POINTS,
        cap_share=shift.cap / POINTS,
        held_because=hold.reason.value if hold is not None else '',
    )
