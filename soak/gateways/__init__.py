"""The gateways: real processes that are started, signalled and restarted."""

from soak.gateways.gateway import PAUSE_S, Gateway
from soak.gateways.launch import GatewaySetup, Launch
from soak.gateways.process import GatewayProcess

__all__ = ["PAUSE_S", "Gateway", "GatewayProcess", "GatewaySetup", "Launch"]
