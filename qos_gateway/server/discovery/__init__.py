"""The client of discovery, and the endpoint list on its way into the process."""
