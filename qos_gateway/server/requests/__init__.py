"""Open requests and their attempts, and the guards that check each attempt and each final response."""
