"""Customer accounts: token buckets and their slices, demand, leases and reported usage."""
