"""The seven cases of the QoS broker paper (section 5), which set the concurrency offered to a customer.

The paper's terms: Nreq is the concurrency that a customer requests, RMAX the maximum response time and XMIN
the minimum throughput that it accepts, and Noffer the concurrency that it is offered.
"""

from collections.abc import Callable

Goal = Callable[[int], bool]  # whether the goal holds at a given concurrency


def seven_cases(requested: int, response: Goal, throughput: Goal, commitments: Goal) -> int:
    """Return Noffer for Nreq = `requested`; 0 rejects the customer.

    `response` and `throughput` are the customer's own goals, RMAX and XMIN. `commitments` holds where the
    commitments to all other customers hold.
    """

    def first(levels: range, *goals: Goal) -> int:
        return next((level for level in levels if all(goal(level) for goal in goals)), 0)

    lower = range(requested - 1, 0, -1)
    higher = range(requested + 1, 2 * requested + 1)
    response_ok = response(requested)
    throughput_ok = throughput(requested)
    commitments_ok = commitments(requested)
    if commitments_ok and response_ok and throughput_ok:  # case 1: every goal holds
        return requested
    # Case 2: RMAX is exceeded. Lower N until both goals hold, or else to the lowest N that meets XMIN.
    if commitments_ok and throughput_ok:
        return first(lower, response, throughput) or first(lower[::-1], throughput) or requested
    # Case 3: XMIN is missed. Raise N until both goals hold, or else to the highest N that meets RMAX.
    if commitments_ok and response_ok:
        both = first(higher, response, throughput, commitments)
        return both or first(higher[::-1], response, commitments) or requested
    # Case 4: both goals are missed. Lower N to meet RMAX, or else raise it to meet XMIN.
    if commitments_ok:
        return first(lower, response) or first(higher, throughput, commitments) or requested
    # Commitments are violated. Lower N until they hold, with both goals (case 5) or with XMIN alone (case 6).
    offered = first(lower, response, throughput, commitments) or first(lower, commitments, throughput)
    # Case 7: no own goal can be met as well. Lower N until the commitments hold.
    return (throughput_ok and offered) or first(lower, commitments)
