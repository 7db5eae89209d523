"""Order servers: RESP over TCP, reached by each gateway at an address of its own, with fault injection."""

from soak.order_servers.responses import response_value, without_padding
from soak.order_servers.server import OrderServer

__all__ = ["OrderServer", "response_value", "without_padding"]
