"""Reads the settings object that a host is given for an instance: the wire adapter and the sidecar alike."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from eiderhub.interface import (
    DedupScope,
    Discovery,
    Effect,
    Goal,
    Limits,
    Prices,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)

BY_WORTH = ("Whole", "WorstWindow", "WorstTenant", "Availability")  # parts of `Goal` that add up worth
BY_CLASS = ("WorstClass", "Tail")  # and those that look at each class alone


def _get(table: Any, key: str, kind: type | tuple[type, ...], where: str, default: Any = None) -> Any:
    """A checked value of a settings table; without a default it is required."""
    if not isinstance(table, dict):
        raise ValueError(f"{where.rstrip('.')}: must be an object")
    value = table.get(key)
    if value is None:
        if default is None:
            raise ValueError(f"{where}{key}: missing")
        return default
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise ValueError(f"{where}{key}: impossible value {value!r}")
    return value


def _choice(enum: type[Any], table: Any, key: str, where: str, default: str | None = None) -> Any:
    value = _get(table, key, str, where, default)
    try:
        return enum(value)
    except ValueError:
        raise ValueError(f"{where}{key}: impossible value {value!r}") from None


def _names(table: Any, key: str, where: str) -> frozenset[str] | None:
    """A list of names that may be absent; an empty one is a list all the same and allows nothing."""
    if table.get(key) is None:
        return None
    value = _get(table, key, list, where)
    if not all(isinstance(name, str) for name in value):
        raise ValueError(f"{where}{key}: impossible value {value!r}")
    return frozenset(value)


def _fields(make: Callable[..., Any], where: str, renamed: dict[str, str], **values: Any) -> Any:
    """Build a settings class; its complaints about a field are worded with the wire's key."""
    try:
        return make(**values)
    except ValueError as error:
        name, _, why = str(error).partition(": ")
        raise ValueError(f"{where}{renamed.get(name, name)}: {why}") from None


def parse_settings(setup: Any) -> Settings:
    """Read the settings of `power_on`; unknown keys are skipped, absent optional ones take defaults."""
    number = (int, float)
    if not isinstance(setup, dict):
        raise ValueError("Setup: must be an object")
    classes = []
    for i, c in enumerate(_get(setup, "Categories", list, "")):
        where = f"Categories[{i}]."
        renamed = {
            "name": "Name",
            "objective_us": "AimUs",
            "deadline_us": "DeadlineUs",
            "worth": "Credit",
            "late_worth_share": "LateShare",
            "dedup_window_us": "DedupWindowUs",
        }
        effect = _choice(Effect, c, "Effect", where)
        keyed = effect is Effect.DEDUPLICATED
        classes.append(
            _fields(
                RequestClass,
                where,
                renamed,
                name=_get(c, "Name", str, where),
                objective_us=_get(c, "AimUs", int, where),
                deadline_us=_get(c, "DeadlineUs", int, where),
                effect=effect,
                dedup_scope=_choice(DedupScope, c, "Group", where, None if keyed else "all"),
                dedup_window_us=_get(c, "DedupWindowUs", int, where, None if keyed else 0),
                worth=float(_get(c, "Credit", number, where, 1.0)),
                late_worth_share=float(_get(c, "LateShare", number, where, 0.0)),
                streaming=_get(c, "Streaming", bool, where, False),
                allowed_zones=_names(c, "StaysIn", where),
                allowed_machine_kinds=_names(c, "ServedOn", where),
            )
        )
    tenants = []
    for i, t in enumerate(_get(setup, "Parties", list, "", [])):
        where = f"Parties[{i}]."
        renamed = {"name": "Name", "share": "Share", "quota_per_s": "QuotaPerS"}
        tenants.append(
            _fields(
                Tenant,
                where,
                renamed,
                name=_get(t, "Name", str, where),
                share=float(_get(t, "Share", number, where, 0.0)),
                quota_per_s=float(_get(t, "QuotaPerS", number, where, 0.0)),
            )
        )
    allowed, charges = _get(setup, "Allowed", dict, "", {}), _get(setup, "Charges", dict, "", {})
    figures = _get(setup, "Rules", dict, "", {})
    limits = _fields(
        Limits,
        "Allowed.",
        {
            "max_attempts": "MaxAttempts",
            "max_retry_after_us": "MaxRetryAfterUs",
            "conn_idle_us": "ConnIdleUs",
            "connect_timeout_us": "ConnectTimeoutUs",
        },
        max_attempts=_get(allowed, "MaxAttempts", int, "Allowed.", 3),
        max_retry_after_us=_get(allowed, "MaxRetryAfterUs", int, "Allowed.", 1_000_000),
        hedging=_get(allowed, "SecondCopies", bool, "Allowed.", False),
        may_cancel=_get(allowed, "MayCancel", bool, "Allowed.", False),
        conn_idle_us=_get(allowed, "ConnIdleUs", int, "Allowed.", 0),
        connect_timeout_us=_get(allowed, "ConnectTimeoutUs", int, "Allowed.", 250_000),
        may_send_retry_after=_get(allowed, "RetryAfter", bool, "Allowed.", False),
    )
    prices = Prices(
        cross_zone=float(_get(charges, "CrossZone", number, "Charges.", 0.0)),
        handshake=float(_get(charges, "Handshake", number, "Charges.", 0.0)),
    )
    rules = _fields(
        Rules,
        "Rules.",
        {
            "warm_up_us": "ColdUs",
            "cold_capacity_share": "ColdFrom",
            "overload_factor": "OverloadFactor",
            "drain_grace_us": "DrainGraceUs",
            "poll_interval_us": "AskEveryUs",
        },
        warm_up_us=_get(figures, "ColdUs", int, "Rules.", 10_000_000),
        cold_capacity_share=float(_get(figures, "ColdFrom", number, "Rules.", 0.1)),
        overload_factor=float(_get(figures, "OverloadFactor", number, "Rules.", 2.0)),
        drain_grace_us=_get(figures, "DrainGraceUs", int, "Rules.", 1_000_000),
        poll_interval_us=_get(figures, "AskEveryUs", int, "Rules.", 0) or 10_000_000,  # 0 where lists are pushed
    )
    parts = _get(setup, "Goal", dict, "", {})
    weight = {key: float(_get(parts, key, number, "Goal.", 0.0)) for key in BY_WORTH + BY_CLASS}
    for key, value in weight.items():
        if value < 0:
            raise ValueError(f"Goal.{key}: must not be negative")
    goal = Goal(
        worth_weight=sum(weight[key] for key in BY_WORTH) if parts else 1.0,
        class_weight=sum(weight[key] for key in BY_CLASS),
    )
    tiers = _get(setup, "Tiers", list, "", [""])
    return _fields(  # type: ignore[no-any-return]
        Settings,
        "",
        {
            "classes": "Categories",
            "tenants": "Parties",
            "rank": "Rank",
            "balancers": "Balancers",
            "layer": "Layer",
            "tiers": "Tiers",
            "over_share_worth": "OverShareWorth",
        },
        classes=tuple(classes),
        rank=_get(setup, "Rank", int, "", 0),
        balancers=_get(setup, "Balancers", int, "", 1),
        layer=_get(setup, "Layer", int, "", 0),
        tiers=len(tiers),
        zone=_get(setup, "MyZone", str, "", ""),
        tenants=tuple(tenants),
        over_share_worth=float(_get(setup, "OverShareWorth", number, "", 1.0)),
        discovery=_choice(Discovery, setup, "Discovery", "", "push"),
        limits=limits,
        prices=prices,
        goal=goal,
        rules=rules,
    )
