"""The client of the discovery service, and parsing, storage and application of endpoint lists."""
