"""What the decisions remember: plain state, recent means, and its form for the next process."""
