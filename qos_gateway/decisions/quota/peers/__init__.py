"""Messages between gateways: their bytes, gossip, and reservations at the owner of a bucket."""
