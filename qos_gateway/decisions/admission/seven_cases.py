"""The seven cases of the QoS broker paper (section 5), which set the concurrency offered to a customer.

The paper's terms: Nreq is the concurrency that a customer requests, RMAX the maximum response time and XMIN
the minimum throughput that it accepts, and Noffer the concurrency that it is offered.
"""

from bisect import bisect_left
from collections.abc import Callable

Goal = Callable[[int], bool]  # whether the goal holds at a given concurrency


def _highest(levels: range, *goals: Goal) -> int:
    """Return the highest level at which all goals hold, 0 for none; they hold up to some level each."""
    count = bisect_left(levels, True, key=lambda level: not all(goal(level) for goal in goals))
    return levels[count - 1] if count else 0


def _lowest(levels: range, goal: Goal) -> int:
    """Return the lowest level at which the goal holds, 0 for none; it holds from some level on."""
    count = bisect_left(levels, True, key=goal)
    return levels[count] if count < len(levels) else 0


def seven_cases(requested: int, response: Goal, throughput: Goal, commitments: Goal) -> int:
    """Return Noffer for Nreq = `requested`; 0 rejects the customer.

    `response` and `throughput` are the customer's own goals, RMAX and XMIN. `commitments` holds where the
    commitments to all other customers hold. In a closed network response time and throughput grow with the
    concurrency, so `response` and `commitments` hold up to some level, and `throughput` from some level on.
    """

    def if_holds(level: int, *goals: Goal) -> int:
        return level if level and all(goal(level) for goal in goals) else 0

    lower = range(1, requested)
    higher = range(requested + 1, 2 * requested + 1)
    response_ok = response(requested)
    throughput_ok = throughput(requested)
    commitments_ok = commitments(requested)
    if commitments_ok and response_ok and throughput_ok:  # case 1: every goal holds
        return requested
    # Case 2: RMAX is exceeded. Lower N until both goals hold, or else to the lowest N that meets XMIN.
    if commitments_ok and throughput_ok:
        both = if_holds(_highest(lower, response), throughput)
        return both or _lowest(lower, throughput) or requested
    # Case 3: XMIN is missed. Raise N until both goals hold, or else to the highest N that meets RMAX.
    if commitments_ok and response_ok:
        both = if_holds(_lowest(higher, throughput), response, commitments)
        return both or _highest(higher, response, commitments) or requested
    # Case 4: both goals are missed. Lower N to meet RMAX, or else raise it to meet XMIN.
    if commitments_ok:
        raised = if_holds(_lowest(higher, throughput), commitments)
        return _highest(lower, response) or raised or requested
    # Commitments are violated. Lower N until they hold, with both goals (case 5) or with XMIN alone (case 6).
    committed = _highest(lower, commitments)
    offered = if_holds(_highest(lower, response, commitments), throughput) or if_holds(committed, throughput)
    # Case 7: no own goal can be met as well. Lower N until the commitments hold.
    return (throughput_ok and offered) or committed
