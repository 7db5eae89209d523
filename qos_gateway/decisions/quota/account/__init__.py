"""A customer's account: its token buckets and slices, its demand, and what is reported of them."""
