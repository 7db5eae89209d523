"""The gateway as a process: sockets on one side of the decision engine, its actions on the other.

`wiring.py` builds and connects the parts, `gateway.py` starts and stops them. A client's request goes from
`clients/` to `requests/`, as an event through `event_dispatcher.py` to the engine, and each of the engine's
actions to `action_executor.py`. Attempts run on the connections of `endpoints/`. `discovery/` follows the
endpoint list; `handover/` passes state from one process to the next.
"""
