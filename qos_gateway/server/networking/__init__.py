"""What both sides of the gateway share: RESP framing, streams of large values, the clock, passing errors."""
