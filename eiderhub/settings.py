"""Parses the settings object of an instance, as the simulator's wire and the sidecar's JSON file carry it."""

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

WORTH_GOALS = ("Whole", "WorstWindow", "WorstTenant", "Availability")  # keys of "Goal" that weigh requests by worth
CLASS_GOALS = ("WorstClass", "Tail")  # keys of "Goal" that weigh each class alike


def _get(table: Any, key: str, types: type | tuple[type, ...], prefix: str, default: Any = None) -> Any:
    """Return the value of a key of a settings table, or the default where it is absent or null.

    Raises ValueError, with the path of the key, where the value is of another type or absent without a default. A bool
    does not count as a number.
    """
    if not isinstance(table, dict):
        raise ValueError(f"{prefix.rstrip('.')}: must be an object")
    value = table.get(key)
    if value is None:
        if default is None:
            raise ValueError(f"{prefix}{key}: missing")
        return default
    if not isinstance(value, types) or (isinstance(value, bool) and types is not bool):
        raise ValueError(f"{prefix}{key}: invalid value {value!r}")
    return value


def _get_enum(enum: type[Any], table: Any, key: str, prefix: str, default: str | None = None) -> Any:
    """Return the member of an enum whose value the key has. Raises ValueError as `_get` does."""
    value = _get(table, key, str, prefix, default)
    try:
        return enum(value)
    except ValueError:
        raise ValueError(f"{prefix}{key}: invalid value {value!r}") from None


def _get_names(table: Any, key: str, prefix: str) -> frozenset[str] | None:
    """Return a list of names as a set, or None where the key is absent or null. An empty list stays an empty set."""
    if table.get(key) is None:
        return None
    value = _get(table, key, list, prefix)
    if not all(isinstance(name, str) for name in value):
        raise ValueError(f"{prefix}{key}: invalid value {value!r}")
    return frozenset(value)


def _build(factory: Callable[..., Any], prefix: str, wire_keys: dict[str, str], **values: Any) -> Any:
    """Create a settings object. Its ValueError about a field is raised anew with the field's path and wire key."""
    try:
        return factory(**values)
    except ValueError as error:
        name, _, reason = str(error).partition(": ")
        raise ValueError(f"{prefix}{wire_keys.get(name, name)}: {reason}") from None


def parse_settings(setup: Any) -> Settings:
    """Parse the object that the simulator's `power_on` and the sidecar's `settings` carry.

    Unknown keys are ignored; absent optional keys get their defaults. Raises ValueError with the path of a missing or
    invalid key.
    """
    number = (int, float)
    if not isinstance(setup, dict):
        raise ValueError("Setup: must be an object")
    classes = []
    for i, category in enumerate(_get(setup, "Categories", list, "")):
        prefix = f"Categories[{i}]."
        wire_keys = {
            "name": "Name",
            "objective_us": "AimUs",
            "deadline_us": "DeadlineUs",
            "worth": "Credit",
            "late_worth_share": "LateShare",
            "dedup_window_us": "DedupWindowUs",
        }
        effect = _get_enum(Effect, category, "Effect", prefix)
        is_deduplicated = effect is Effect.DEDUPLICATED
        classes.append(
            _build(
                RequestClass,
                prefix,
                wire_keys,
                name=_get(category, "Name", str, prefix),
                objective_us=_get(category, "AimUs", int, prefix),
                deadline_us=_get(category, "DeadlineUs", int, prefix),
                effect=effect,
                dedup_scope=_get_enum(DedupScope, category, "Group", prefix, None if is_deduplicated else "all"),
                dedup_window_us=_get(category, "DedupWindowUs", int, prefix, None if is_deduplicated else 0),
                worth=float(_get(category, "Credit", number, prefix, 1.0)),
                late_worth_share=float(_get(category, "LateShare", number, prefix, 0.0)),
                streaming=_get(category, "Streaming", bool, prefix, False),
                allowed_zones=_get_names(category, "StaysIn", prefix),
                allowed_machine_kinds=_get_names(category, "ServedOn", prefix),
            )
        )
    tenants = []
    for i, party in enumerate(_get(setup, "Parties", list, "", [])):
        prefix = f"Parties[{i}]."
        wire_keys = {"name": "Name", "share": "Share", "quota_per_s": "QuotaPerS"}
        tenants.append(
            _build(
                Tenant,
                prefix,
                wire_keys,
                name=_get(party, "Name", str, prefix),
                share=float(_get(party, "Share", number, prefix, 0.0)),
                quota_per_s=float(_get(party, "QuotaPerS", number, prefix, 0.0)),
            )
        )
    allowed, charges = _get(setup, "Allowed", dict, "", {}), _get(setup, "Charges", dict, "", {})
    rules_table = _get(setup, "Rules", dict, "", {})
    limits = _build(
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
    rules = _build(
        Rules,
        "Rules.",
        {
            "warm_up_us": "ColdUs",
            "cold_capacity_share": "ColdFrom",
            "overload_factor": "OverloadFactor",
            "drain_grace_us": "DrainGraceUs",
            "poll_interval_us": "AskEveryUs",
        },
        warm_up_us=_get(rules_table, "ColdUs", int, "Rules.", 10_000_000),
        cold_capacity_share=float(_get(rules_table, "ColdFrom", number, "Rules.", 0.1)),
        overload_factor=float(_get(rules_table, "OverloadFactor", number, "Rules.", 2.0)),
        drain_grace_us=_get(rules_table, "DrainGraceUs", int, "Rules.", 1_000_000),
        poll_interval_us=_get(rules_table, "AskEveryUs", int, "Rules.", 0) or 10_000_000,  # 0 with pushed lists
    )
    goals = _get(setup, "Goal", dict, "", {})
    weights = {key: float(_get(goals, key, number, "Goal.", 0.0)) for key in WORTH_GOALS + CLASS_GOALS}
    for key, value in weights.items():
        if value < 0:
            raise ValueError(f"Goal.{key}: must not be negative")
    goal = Goal(
        worth_weight=sum(weights[key] for key in WORTH_GOALS) if goals else 1.0,
        class_weight=sum(weights[key] for key in CLASS_GOALS),
    )
    tiers = _get(setup, "Tiers", list, "", [""])
    return _build(  # type: ignore[no-any-return]
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
        discovery=_get_enum(Discovery, setup, "Discovery", "", "push"),
        limits=limits,
        prices=prices,
        goal=goal,
        rules=rules,
    )
