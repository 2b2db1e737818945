"""eiderhub: load-balancing decisions for calls between services."""

from eiderhub.balancer import Balancer
from eiderhub.interface import (
    Actions,
    DedupScope,
    Discovery,
    Effect,
    Endpoint,
    Events,
    Goal,
    Limits,
    ListForm,
    Outcome,
    Prices,
    Readiness,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)

__all__ = [
    "Actions",
    "Balancer",
    "DedupScope",
    "Discovery",
    "Effect",
    "Endpoint",
    "Events",
    "Goal",
    "Limits",
    "ListForm",
    "Outcome",
    "Prices",
    "Readiness",
    "RequestClass",
    "Rules",
    "Settings",
    "Tenant",
]
