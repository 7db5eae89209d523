"""Client of the quota counter."""
