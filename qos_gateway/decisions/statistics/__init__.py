"""Decaying means, and the time constants that decisions share."""
