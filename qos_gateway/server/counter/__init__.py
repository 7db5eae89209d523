"""The client of the quota counter."""
