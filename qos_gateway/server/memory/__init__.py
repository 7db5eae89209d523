"""The memory that peers cause a process to hold: its budget, and measurements of the process."""
