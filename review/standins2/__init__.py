"""Stand-ins for the cases 6 to 10: discovery's agent, order servers, clients, and the start of gateways."""
