"""Exponentially decaying means and shared time constants."""
