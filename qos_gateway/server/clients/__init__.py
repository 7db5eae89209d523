"""The client side of the gateway, a RESP server: connections, commands, and their replies."""
