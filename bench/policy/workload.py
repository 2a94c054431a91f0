"""Generates the requests of the scenarios from seeds."""

from random import Random

import msgspec

from cicadahoist.table import Route, Rule

DURATION_MS = 180_000
FIRST_TOKEN_GOAL_MS = 480
TOKEN_GAP_GOAL_MS = 66
ZONES = ('a', 'b', 'c')
FAULTS = ('none', 'crash', 'zone', 'stale', 'poison')


class RequestKind(msgspec.Struct, frozen=True):
    """Rule and ranges of prompt and output length of one kind of request."""

    route: str
    prompt_tokens_range: tuple[int, int]
    output_tokens_range: tuple[int, int]
    rule_fields: dict


class Request(msgspec.Struct, kw_only=True, eq=False):
    """One request, its current attempt and its result."""

    name: str
    workspace: str
    kind: RequestKind
    rule: Rule
    route: Route
    arrival_ms: int
    prompt_tokens: int
    output_tokens: int
    digest: str
    blocks: tuple[int, ...] = ()
    is_poison: bool = False
    ticket: object = None
    entry: object = None
    attempt_id: str = ''
    target: str = ''
    tried_targets: frozenset[str] = frozenset()
    attempt_count: int = 0
    emitted_tokens: int = 0
    refusal_code: str = ''
    first_token_ms: float | None = None
    end_ms: float | None = None

    @property
    def is_urgent(self):
        return self.rule.priority <= 1

    @property
    def workspace_and_route(self):
        return self.workspace, self.kind.route

    def is_good(self):
        """Return whether the request ended within its goals."""
        if self.end_ms is None:
            return False
        if not self.is_urgent:
            return self.end_ms - self.arrival_ms <= self.rule.deadline_ms
        token_gap_ms = (self.end_ms - self.first_token_ms) / max(
            1, self.output_tokens - 1
        )
        first_token_ms = self.first_token_ms - self.arrival_ms
        return (
            first_token_ms <= FIRST_TOKEN_GOAL_MS
            and token_gap_ms <= TOKEN_GAP_GOAL_MS
        )


QUESTION = RequestKind(
    'helpline', (250, 900), (50, 130), {'priority': 0, 'deadline_ms': 20_000}
)
CHECK = RequestKind(
    'yard', (150, 500), (30, 90), {'priority': 0, 'deadline_ms': 15_000}
)
LEDGER = RequestKind(
    'ledger',
    (16_000, 32_000),
    (10, 50),
    {'priority': 2, 'deadline_ms': 150_000},
)
SUMMARY = RequestKind(
    'summary',
    (8000, 24_000),
    (400, 900),
    {'priority': 2, 'deadline_ms': 90_000},
)


class RequestGenerator:
    """Generates requests of a scenario."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.requests = []

    def add(self, kind, workspace, at_ms, prefix=None):
        number = len(self.requests)
        blocks = tuple(range(prefix * 100, prefix * 100 + 6)) if prefix else ()
        self.requests.append(
            Request(
                name=f'r{number}',
                workspace=workspace,
                kind=kind,
                rule=Rule(
                    workspace=workspace, route=kind.route, **kind.rule_fields
                ),
                route=Route(name=kind.route, pool='engines'),
                arrival_ms=int(at_ms),
                prompt_tokens=self.rng.randint(*kind.prompt_tokens_range),
                output_tokens=self.rng.randint(*kind.output_tokens_range),
                digest=f'd{number}',
                blocks=blocks,
            )
        )

    def add_poisson_arrivals(self, kind, workspaces, per_s, from_ms, to_ms):
        """Add Poisson arrivals; ``workspaces`` maps names to weights."""
        at_ms = from_ms + self.rng.expovariate(per_s) * 1000
        names, weights = list(workspaces), list(workspaces.values())
        while at_ms < to_ms:
            name = self.rng.choices(names, weights)[0]
            prefix = (
                None
                if kind.rule_fields['priority'] == 0
                else 1 + names.index(name)
            )
            self.add(kind, name, at_ms, prefix)
            at_ms += self.rng.expovariate(per_s) * 1000


CLERKS = {f'clerk-{n}': weight for n, weight in enumerate((8, 5, 3, 1, 1, 1))}
COUNCILS = {'council-0': 3, 'council-1': 1}
YARDS = {f'yard-{n}': weight for n, weight in enumerate((9, 6, 4, 1, 1, 1))}
BURST_REQUESTS = 120
DESKS = {'yard-0': 2, 'desk-1': 1}


def generate_tayside(generator):
    """160 ledgers arrive within seconds; one workspace asks in bursts."""
    generator.add_poisson_arrivals(
        QUESTION, CLERKS, 24, 0, DURATION_MS - 10_000
    )
    for number in range(160):
        name = 'council-0' if number % 4 else 'council-1'
        generator.add(LEDGER, name, 15_000 + number * 20, 1 + number % 2)
    for number in range(4 * BURST_REQUESTS):
        at_ms = (
            40_000 * (1 + number // BURST_REQUESTS)
            + number % BURST_REQUESTS * 5
        )
        generator.add(QUESTION, 'clerk-0', at_ms)


def generate_pilbara(generator):
    """The rate of checks rises to a morning peak, beside contract summaries."""
    for number in range(8):
        rate = min(60, 12 + number * 12)
        start_ms = number * 20_000
        generator.add_poisson_arrivals(
            CHECK, YARDS, rate, start_ms, start_ms + 20_000
        )
    generator.add_poisson_arrivals(SUMMARY, DESKS, 1.0, 0, DURATION_MS - 60_000)


def generate_swing(generator):
    """Alternates each 42 s between decode-heavy and prefill-heavy requests."""
    for number in range(4):
        start_ms = number * 42_000
        heavy = number % 2
        rate, ledgers = (36, 0.4) if heavy else (16, 1.2)
        generator.add_poisson_arrivals(
            QUESTION, CLERKS, rate, start_ms, start_ms + 42_000
        )
        generator.add_poisson_arrivals(
            LEDGER, COUNCILS, ledgers, start_ms, start_ms + 42_000
        )


SCENARIOS = {
    'tayside': (generate_tayside, 6),
    'pilbara': (generate_pilbara, 7),
    'swing': (generate_swing, 6),
}


def generate_requests(scenario, fault, seed):
    """Return the requests of a scenario in order of arrival."""
    generator = RequestGenerator(f'{scenario}/{seed}')
    SCENARIOS[scenario][0](generator)
    if fault == 'poison':
        for number in range(8):
            generator.add(QUESTION, 'clerk-1', 40_000 + number * 4000)
            generator.requests[-1].digest = 'poison'
            generator.requests[-1].is_poison = True
    return sorted(generator.requests, key=lambda request: request.arrival_ms)
