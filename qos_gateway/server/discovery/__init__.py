"""The client of discovery, and the endpoint list from its JSON form to the parts that use it."""
