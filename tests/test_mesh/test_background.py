"""Background loops go on after an unexpected error in a step."""

from cicadahoist.clock import Clock
from cicadahoist.mesh.background import RESTART_MS, Background


def test_unexpected_error_delays_but_does_not_end_the_loop():
    clock = Clock.manual()
    steps = []

    async def step() -> None:
        steps.append(clock.now_ms())
        if len(steps) == 1:
            raise ValueError
        await clock.sleep(100)

    background = Background(clock, step)
    background.start()
    assert steps == [0]
    clock.advance(RESTART_MS)
    assert steps == [0, RESTART_MS]
    background.stop()
    clock.advance(10_000)
    assert len(steps) == 2
