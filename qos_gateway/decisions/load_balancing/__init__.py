"""Load balancing: endpoint list, outlier ejection, slow start, and endpoint selection."""
