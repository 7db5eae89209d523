"""Request latency by class, the closed queuing model fitted to it, and the concurrency limit that follows."""
