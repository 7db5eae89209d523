"""Open requests, their attempts and deadlines, and the guards that check each attempt and each rejection."""
