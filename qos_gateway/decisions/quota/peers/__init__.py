"""Messages between gateways: wire format, gossip, and reservations from a bucket's owner."""
