"""The seven cases of the QoS broker paper (section 5): the concurrency to offer to a customer.

The paper's terms: Nreq is the concurrency that a customer requests, RMAX the longest response time and XMIN
the least throughput that it accepts, and Noffer the concurrency that it gets.
"""

from collections.abc import Callable

Goal = Callable[[int], bool]  # whether a goal holds at a concurrency


def seven_cases(requested: int, response: Goal, throughput: Goal, commitments: Goal) -> int:
    """Return Noffer for Nreq = `requested`; 0 rejects the customer.

    `response` and `throughput` are the customer's own goals, RMAX and XMIN. `commitments` holds while the
    commitments to all other customers are kept.
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
    # Case 2: over RMAX; lower N, at least to the lowest that keeps XMIN.
    if commitments_ok and throughput_ok:
        return first(lower, response, throughput) or first(lower[::-1], throughput) or requested
    # Case 3: below XMIN; raise N, at least to the highest that keeps RMAX.
    if commitments_ok and response_ok:
        both = first(higher, response, throughput, commitments)
        return both or first(higher[::-1], response, commitments) or requested
    # Case 4: over RMAX and below XMIN; lower N to keep RMAX, or raise it to keep XMIN.
    if commitments_ok:
        return first(lower, response) or first(higher, throughput, commitments) or requested
    # Commitments are violated. Lower N until they hold, with both goals (case 5) or with XMIN alone (case 6).
    offered = first(lower, response, throughput, commitments) or first(lower, commitments, throughput)
    # Case 7: no own goal can hold as well.
    return (throughput_ok and offered) or first(lower, commitments)
