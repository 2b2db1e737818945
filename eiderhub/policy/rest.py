"""Which endpoints have tipped over, and the rest that brings them back.

An endpoint that was crowded for some seconds turns two to three times slower, and stays so until it has been
mostly idle for some seconds more. The load that it bore with ease before keeps it slow. What shows it is its
pace: the mean latency of its own calls against the pool's uncrowded one. Sidecars share nothing, yet each
sees the same pace.

Danger: rest takes capacity away, and slowness of all endpoints alike (something that they all wait for) is no
jam: so only an endpoint in contrast to sound peers rests, and never more than a part of a pool.
"""

from __future__ import annotations

from collections.abc import Sequence

TIPPED_PACE = 2.5  # times the pool's uncrowded latency at which an endpoint may have tipped
CONTRAST = 1.8  # and times the pace of its sounder peers
SOUND_PART = 0.34  # part of the known endpoints that must be no slower than the peer looked at
SOUND_PACE = 1.4  # pace of that peer above which the whole pool is slow, which rest does not mend
PACE_WEIGHT = 0.3  # weight of the newest latency in a pace
PACE_SAMPLES = 4  # latencies from which a pace says something
REST_US = 4_500_000  # an endpoint gets no call for this long: what it holds has to end as well
RAMP_US = 1_500_000  # and climbs back to its full part in this time
RAMP_FROM = 0.2  # starting with this part
MOST_RESTING = 0.5  # of a pool's endpoints at once


class Rest:
    """The pace of one endpoint, and its rest."""

    __slots__ = ("pace", "samples", "since", "until")

    def __init__(self) -> None:
        self.since = 0  # when the last rest began; calls sent before it say nothing of what came of it
        self.forget()

    def forget(self) -> None:
        """Another process answers under this id, or a rest begins: what was learned is void."""
        self.pace = 1.0
        self.samples = 0
        self.until = 0  # 0: no rest yet

    def learn(self, pace: float) -> None:
        """The latency of a call, as a multiple of the pool's uncrowded one."""
        self.samples += 1
        self.pace += max(PACE_WEIGHT, 1 / self.samples) * (pace - self.pace)

    def begin(self, now: int) -> None:
        self.forget()
        self.since, self.until = now, now + REST_US

    def resting(self, now: int) -> bool:
        return now < self.until

    def part(self, now: int) -> float:
        """The part of its usual calls that the endpoint may have."""
        over = now - self.until
        if not self.until or over >= RAMP_US:
            return 1.0
        return 0.0 if over < 0 else RAMP_FROM + (1 - RAMP_FROM) * over / RAMP_US


def due(now: int, pool: Sequence[Rest]) -> list[Rest]:
    """Those of a pool whose rest is to begin now; the first in order come first, for all sidecars alike."""
    awake = [r for r in pool if not r.resting(now)]
    known = [r for r in awake if r.samples >= PACE_SAMPLES]
    left = int(MOST_RESTING * len(pool)) - (len(pool) - len(awake))
    if left <= 0 or len(known) < 2:
        return []
    sound = sorted(r.pace for r in known)[int(SOUND_PART * len(known))]
    if sound >= SOUND_PACE:
        return []
    return [r for r in known if r.pace > max(TIPPED_PACE, CONTRAST * sound)][:left]
