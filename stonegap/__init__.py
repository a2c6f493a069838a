"""stonegap: the decisions of a balancer for long-lived connections."""

from stonegap.balance import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"
