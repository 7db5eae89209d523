"""Open requests and their attempts: dispatch, retries, hedging and overdue responses."""
