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

    fewer = range(requested - 1, 0, -1)
    more = range(requested + 1, 2 * requested + 1)
    fast = response(requested)
    enough = throughput(requested)
    kept = commitments(requested)
    if kept and fast and enough:  # case 1: every goal holds
        return requested
    if kept and enough:  # case 2: over RMAX; lower N, at least to the lowest that keeps XMIN
        return first(fewer, response, throughput) or first(fewer[::-1], throughput) or requested
    if kept and fast:  # case 3: below XMIN; raise N, at least to the highest that keeps RMAX
        both = first(more, response, throughput, commitments)
        return both or first(more[::-1], response, commitments) or requested
    if kept:  # case 4: over RMAX and below XMIN; lower N to keep RMAX, or raise it to keep XMIN
        return first(fewer, response) or first(more, throughput, commitments) or requested
    # Commitments are violated. Lower N until they hold, with both goals (case 5) or with XMIN alone (case 6).
    offered = first(fewer, response, throughput, commitments) or first(fewer, commitments, throughput)
    # Case 7: no own goal can hold as well.
    return (enough and offered) or first(fewer, commitments)
