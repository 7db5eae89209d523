"""Connection pools to the endpoints, the attempts sent over them, and response parsing."""
