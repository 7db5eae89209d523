"""Load balancing: the endpoint list, outlier ejection, slow start, and the endpoint for each attempt."""
