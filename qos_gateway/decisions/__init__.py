"""The decisions: no I/O and no clock. These are the files that the deploy file names as `policy`."""
