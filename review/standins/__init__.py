"""Stand-ins for the platform, clients, order servers, discovery and the counter, by the pages."""
