"""The gateway as a process: sockets on one side of the decision engine, its actions on the other.

`gateway.py` connects the parts. A client's request goes from `clients.py` to `open_requests.py`, as an event
through `event_dispatcher.py` to the engine, and each of the engine's actions to `action_executor.py`.
Attempts run on the pools of `backends.py`, by way of `request_attempts.py`. `endpoint_feed.py` and
`endpoint_registry.py` follow discovery's list; `handover*.py` pass state from one process to the next.
"""
