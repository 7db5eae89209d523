"""Open requests and their attempts: dispatch, retries, hedging, and requests whose responses stay out."""
