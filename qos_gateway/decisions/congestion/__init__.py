"""Request latency by class, the closed queueing model fitted to it, and the resulting concurrency limit."""
