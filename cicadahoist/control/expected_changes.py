"""Requested changes that the load reports of engines may not show yet."""

import msgspec

from cicadahoist.policy.fleet import Role, TargetView
from cicadahoist.protocol.order_events import PlanOrder

EXPECTED_CHANGE_TTL_MS = 15_000


class ExpectedChanges:
    """Recently requested changes, by target and kind."""

    __slots__ = ('_change_by_key',)

    def __init__(self) -> None:
        self._change_by_key: dict[tuple[str, str], tuple[int, PlanOrder]] = {}

    def record(self, plan: PlanOrder, now_ms: int) -> None:
        """Record a requested change."""
        self._change_by_key[plan.target, plan.kind] = (now_ms, plan)

    def apply(self, view: TargetView, now_ms: int) -> TargetView:
        """Return a target as it will be after its requested changes."""
        for requested_ms, plan in self._change_by_key.values():
            if (
                plan.target == view.name
                and now_ms - requested_ms < EXPECTED_CHANGE_TTL_MS
            ):
                view = _apply_plan(view, plan)
        return view


def _apply_plan(view: TargetView, plan: PlanOrder) -> TargetView:
    match plan.kind:
        case 'model':
            models = view.models | {plan.argument}
            return msgspec.structs.replace(view, models=models)
        case 'role':
            return msgspec.structs.replace(view, role=Role(plan.argument))
    return view
