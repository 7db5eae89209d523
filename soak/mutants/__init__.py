"""Broken gateways: each one breaks a rule of the service on purpose, and a check has to notice it.

`python -m soak.mutants NAME` runs a gateway with one of them. A check that finds nothing in the real
gateway shows something only if it notices its broken gateway.
"""

from __future__ import annotations

from collections.abc import Callable

from soak.mutants import attempts, endpoints, memory, processes, quota, responses, retries

MUTANTS: dict[str, Callable[[], None]] = {
    mutant.__name__: mutant
    for mutant in (
        responses.lose_answers,
        responses.mix_values_up,
        attempts.ignore_leaving,
        attempts.promise_too_much_time,
        attempts.alter_commands,
        retries.repeat_everything,
        retries.invite_every_repeat,
        retries.try_without_end,
        retries.hedge_always,
        endpoints.ignore_drains,
        endpoints.ignore_reloads,
        endpoints.skip_slow_start,
        endpoints.forget_capacity_without_warm_endpoints,
        quota.ignore_ceilings,
        responses.pass_values_on_at_once,
        responses.stream_values_without_memory,
        responses.wait_for_slow_values,
        endpoints.believe_older_lists,
        endpoints.forget_maintenance,
        memory.hold_commands_without_limit,
        memory.keep_response_buffers,
        memory.keep_every_customer,
        memory.forget_what_ran,
        processes.crash,
        processes.stop_at_once,
        processes.close_over_unread_replies,
        processes.wait_for_bad_clients,
        processes.need_the_peer_address_at_once,
        processes.keep_places_of_stopped_clients,
        processes.execute_commands_at_once,
        processes.stop_serving,
        processes.serve_without_a_list,
    )
}
