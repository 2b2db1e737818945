"""eiderhub: load-balancing decisions for services that call services."""

from eiderhub.balancer import Balancer
from eiderhub.interface import (
    Actions,
    Discovery,
    Effect,
    Endpoint,
    Events,
    Goal,
    Group,
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
    "Discovery",
    "Effect",
    "Endpoint",
    "Events",
    "Goal",
    "Group",
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
