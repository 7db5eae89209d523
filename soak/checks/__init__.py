"""Checks of a run's observations against the rules of the service, and the verdict that they lead to.

The checks read what clients, order servers and discovery observed, and nothing of the gateways' own view.
"""
