"""The seven cases of the paper's section 5, which choose the concurrency that a customer is offered."""

from __future__ import annotations

from collections.abc import Callable

Goal = Callable[[int], bool]  # whether a goal holds at a concurrency


def seven_cases(requested: int, response: Goal, throughput: Goal, commitments: Goal) -> int:
    """Return the concurrency to offer, 0 to reject.

    `response` and `throughput` are the customer's own goals (RMAX, XMIN); `commitments` tells whether those of
    all other customers hold; `requested` is the paper's Nreq.
    """

    def first(levels: range, *goals: Goal) -> int:
        return next((level for level in levels if all(goal(level) for goal in goals)), 0)

    fewer = range(requested - 1, 0, -1)
    more = range(requested + 1, 2 * requested + 1)
    fast = response(requested)
    enough = throughput(requested)
    kept = commitments(requested)
    if kept and fast and enough:  # case 1
        return requested
    if kept and enough:  # case 2: too slow; fewer, or else the fewest that keep the throughput
        return first(fewer, response, throughput) or first(fewer[::-1], throughput) or requested
    if kept and fast:  # case 3: too little throughput; more, or else as many as stay fast enough
        both = first(more, response, throughput, commitments)
        return both or first(more[::-1], response, commitments) or requested
    if kept:  # case 4: neither
        return first(fewer, response) or first(more, throughput, commitments) or requested
    # Cases 5 to 7: fewer, with both own goals, with the throughput alone, or with neither.
    offered = first(fewer, response, throughput, commitments) or first(fewer, commitments, throughput)
    return (enough and offered) or first(fewer, commitments)
