"""The admin API: HTTP/1.1 for the operators."""
