"""Faults and planned work of a deployment, by function name."""

from collections.abc import Callable

from soak.cuts import choose_cut
from soak.limits import Limits
from soak.platform_pages import MAX_AGE_S

FAULTS: dict[str, Callable] = {}
PLANS: dict[str, Callable] = {}
# What strikes the holder of the duties, beside drills.
HOLDER_FAULTS: dict[str, Callable] = {}
MIN_AGE_S = 1
MIN_PAUSE_MS = 500
MAX_PAUSE_MS = 1900
STUTTERING_SERVICE_SHARE = 0.5
LINK_FAULTS = ('delay', 'reset', 'silent', 'to', 'back')
TARGET_FAULTS = ('hang', 'lost', 'busy', 'cut', 'torn', 'extra')
STORE_FAULTS = ('down', 'lost', 'slow')


def register_fault(action: Callable) -> Callable:
    """Register a fault; it returns a function that heals it, or ``None``."""
    FAULTS[action.__name__] = action
    return action


def register_plan(action: Callable) -> Callable:
    """Register planned work, which must not interrupt any request."""
    PLANS[action.__name__] = action
    return action


def register_holder_fault(action: Callable) -> Callable:
    """Register a fault of the holder of the duties."""
    HOLDER_FAULTS[action.__name__] = action
    return action


@register_fault
def kill(world):
    instance = world.rng.choice(world.instances)
    world.promises.record_disturbance(instance.name)
    instance.signal('KILL')


@register_fault
def kill_most(world):
    for instance in world.instances:
        if world.rng.random() < 0.7:
            world.promises.record_disturbance(instance.name)
            instance.signal('KILL')


@register_fault
def freeze(world):
    return _freeze(world, world.rng.choice(world.instances))


@register_fault
def disturb_callers(world):
    instance = world.rng.choice(world.instances)
    return _disturb_link(world, world.rng, instance, 'callers')


@register_fault
def disturb_store_link(world):
    instance = world.rng.choice(world.instances)
    return _disturb_link(world, world.rng, instance, 'store')


@register_fault
def disturb_cloud_link(world):
    instance = world.rng.choice(world.instances)
    return _disturb_link(world, world.rng, instance, 'cloud')


@register_fault
def disturb_target_link(world):
    target = world.rng.choice(world.targets)
    target.links.set_fault(world.rng.choice(LINK_FAULTS))
    return lambda: _heal_target_link(world, target)


@register_fault
def fail_target(world):
    target = world.rng.choice(world.targets)
    target.fault = world.rng.choice(TARGET_FAULTS)

    def heal():
        target.fault = ''

    return heal


@register_fault
def cut_off(world):
    cut = choose_cut(world)
    if world.promises.cut_instances:
        return None
    cut.begin(world.targets)
    return lambda: cut.heal(world.targets)


@register_fault
def crash_target(world):
    target = world.rng.choice(world.targets)
    if target.running_count >= 0 and not target.links.fault:
        target.crash(world.rng.uniform(0.2, 3))


@register_fault
def fail_store(world):
    world.store.fault = world.rng.choice(STORE_FAULTS)
    world.promises.duties.begin_disruption()

    def heal():
        world.store.fault = ''
        world.promises.duties.end_disruption()

    return heal


@register_fault
def forget_history(world):
    world.promises.duties.begin_disruption()
    world.store.forget_history()
    world.promises.duties.end_disruption()


@register_fault
def spoil_entry(world):
    name = f'odd-{world.rng.getrandbits(16)}'
    world.store.put('servers', name, {'service': 7, 'state': 'elsewhere'})
    return lambda: world.store.remove('servers', name)


@register_fault
def send_crashing_part(world):
    world.crashing_part = f'{world.rng.getrandbits(32):08x}'


def stutter(world):
    """Let a target or all of a service send copies of their answers."""
    rng = world.stutter_rng
    chosen = [rng.choice(world.targets)]
    if rng.random() < STUTTERING_SERVICE_SHARE:
        service = chosen[0].service
        chosen = [one for one in world.targets if one.service == service]
    for target in chosen:
        target.stutter.begin()

    def heal():
        for target in chosen:
            target.stutter.end()

    return heal


def drill(world):
    """Take the store away; it comes back from a copy."""
    if world.store.is_away:
        return None
    world.promises.duties.begin_disruption()
    world.store.go_away()
    age_s = world.drill_rng.uniform(MIN_AGE_S, MAX_AGE_S)

    def heal():
        world.promises.record_disturbance('')
        world.store.come_back(age_s)
        world.promises.duties.end_disruption()

    return heal


def crash_engine(world):
    """Let an engine start anew, so that roles are ordered again."""
    engines = [one for one in world.targets if one.role]
    changed = [one for one in engines if one.role != one.first_role]
    engine = world.drill_rng.choice(changed or engines)
    if not engine.links.fault:
        engine.crash(world.drill_rng.uniform(0.2, 3))


@register_holder_fault
def freeze_holder(world):
    return _freeze(world, world.find_holder())


@register_holder_fault
def kill_holder(world):
    holder = world.find_holder()
    world.promises.record_disturbance(holder.name)
    holder.signal('KILL')


@register_holder_fault
def stop_holder(world):
    world.find_holder().terminate()


@register_holder_fault
def cut_holder_from_store(world):
    return _disturb_link(world, world.drill_rng, world.find_holder(), 'store')


@register_holder_fault
def delay_writes(world):
    """Carry out writes late: those of the holder, or of all instances."""
    late = [world.find_holder()]
    if world.drill_rng.random() < 0.5:
        late = world.instances
    world.store.late_writers.update(instance.name for instance in late)
    return world.store.late_writers.clear


@register_plan
def roll(world):
    connected = world.list_connected_instances()
    if connected:
        world.rng.choice(connected).terminate()


@register_plan
def hang_up(world):
    world.rng.choice(world.instances).reload()


@register_plan
def replace_key(world):
    world.replace_key()


@register_plan
def configure(world):
    world.write_config()


@register_plan
def change_limits(world):
    world.limits.publish(Limits.choose(world.rng))
    world.write_config()


@register_plan
def drain(world):
    target = world.rng.choice(world.targets[:3])
    if target.name not in world.promises.leaving_ms_by_target:
        target.drain()


@register_plan
def pause(world):
    paused = [world.rng.choice(world.targets)]
    if world.rng.random() < 0.6:
        service = paused[0].service
        paused = [one for one in world.targets if one.service == service]
    pause_ms = world.rng.uniform(MIN_PAUSE_MS, MAX_PAUSE_MS)
    if world.rng.random() < 0.5:
        world.write_config()
    for target in paused:
        # Requests that a pause holds back must not count as sent too late.
        if target.name not in world.promises.leaving_ms_by_target:
            target.links.set_fault('silent')
            world.clock.call_later(pause_ms, _heal_target_link, world, target)


def _freeze(world, instance):
    instance.signal('STOP')

    def resume():
        world.promises.record_disturbance(instance.name)
        world.promises.duties.record_heal(instance.name)
        instance.signal('CONT')

    return resume


def _heal_target_link(world, target):
    world.promises.duties.record_heal(target.name)
    target.links.set_fault('')


def _disturb_link(world, rng, instance, name):
    link = getattr(instance, name)
    world.promises.record_disturbance(instance.name)
    link.set_fault(rng.choice(LINK_FAULTS))

    def heal():
        world.promises.record_disturbance(instance.name)
        world.promises.duties.record_heal(instance.name)
        link.set_fault('')

    return heal
