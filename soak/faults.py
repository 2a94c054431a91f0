"""What happens to a deployment: faults, and planned work."""

from collections.abc import Callable

FAULTS: dict[str, Callable] = {}
PLANS: dict[str, Callable] = {}
LINK_FAULTS = ('delay', 'reset', 'silent', 'to', 'back')
TARGET_FAULTS = ('hang', 'lost', 'busy', 'cut', 'extra')
STORE_FAULTS = ('down', 'lost', 'slow')


def fault(action: Callable) -> Callable:
    """Register a fault; it returns what heals it, or none."""
    FAULTS[action.__name__] = action
    return action


def plan(action: Callable) -> Callable:
    """Register planned work, which must cut no request."""
    PLANS[action.__name__] = action
    return action


@fault
def kill(world):
    instance = world.draw.choice(world.instances)
    world.promises.disturb(instance.name)
    instance.signal('KILL')


@fault
def kill_most(world):
    for instance in world.instances:
        if world.draw.random() < 0.7:
            world.promises.disturb(instance.name)
            instance.signal('KILL')


@fault
def freeze(world):
    instance = world.draw.choice(world.instances)
    instance.signal('STOP')

    def thaw():
        world.promises.disturb(instance.name)
        instance.signal('CONT')

    return thaw


@fault
def disturb_callers(world):
    return _disturb_link(world, world.draw.choice(world.instances), 'callers')


@fault
def disturb_store_link(world):
    return _disturb_link(world, world.draw.choice(world.instances), 'store')


@fault
def disturb_cloud_link(world):
    return _disturb_link(world, world.draw.choice(world.instances), 'cloud')


@fault
def disturb_target_link(world):
    link = world.draw.choice(world.targets).link
    link.set_fault(world.draw.choice(LINK_FAULTS))
    return lambda: link.set_fault('')


@fault
def fail_target(world):
    target = world.draw.choice(world.targets)
    target.fault = world.draw.choice(TARGET_FAULTS)

    def mend():
        target.fault = ''

    return mend


@fault
def crash_target(world):
    target = world.draw.choice(world.targets)
    if target.running >= 0 and not target.link.fault:
        target.crash(world.draw.uniform(0.2, 3))


@fault
def fail_store(world):
    world.store.fault = world.draw.choice(STORE_FAULTS)

    def mend():
        world.store.fault = ''

    return mend


@fault
def forget_history(world):
    world.store.forget_history()


@fault
def spoil_entry(world):
    name = f'odd-{world.draw.getrandbits(16)}'
    world.store.put('servers', name, {'service': 7, 'state': 'elsewhere'})
    return lambda: world.store.remove('servers', name)


@plan
def roll(world):
    world.draw.choice(world.instances).leave()


@plan
def hang_up(world):
    world.draw.choice(world.instances).hang_up()


@plan
def replace_key(world):
    world.replace_key()


@plan
def configure(world):
    world.configure()


@plan
def drain(world):
    target = world.draw.choice(world.targets[:3])
    if target.name not in world.promises.leaving_ms:
        target.leave()


def _disturb_link(world, instance, name):
    link = getattr(instance, name)
    world.promises.disturb(instance.name)
    link.set_fault(world.draw.choice(LINK_FAULTS))

    def heal():
        world.promises.disturb(instance.name)
        link.set_fault('')

    return heal
