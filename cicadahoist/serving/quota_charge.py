"""The tokens of one request, from its admission to its end."""

from cicadahoist.requests import InboundRequest
from cicadahoist.serving.quota_asks import Receipt
from cicadahoist.serving.quota_exchange import QuotaExchange


class QuotaCharge:
    """
    Takes the tokens of each run of a request, and returns what no run used.

    :param quotas: the quotas of all workspaces
    :param workspace: the workspace of the request
    :param tokens: tokens of one run
    """

    __slots__ = (
        '_is_closed',
        '_is_returnable',
        '_quotas',
        '_receipt',
        '_tokens',
        '_workspace',
    )

    def __init__(
        self, quotas: QuotaExchange, workspace: str, tokens: float
    ) -> None:
        self._quotas = quotas
        self._workspace = workspace
        self._tokens = tokens
        # Grant that no run has used yet.
        self._receipt: Receipt | None = None
        self._is_closed = False
        self._is_returnable = True

    @classmethod
    def from_request(
        cls, quotas: QuotaExchange, workspace: str, request: InboundRequest
    ) -> 'QuotaCharge | None':
        """Return the charge of a request, none if it counts to no quota."""
        quota = quotas.get_quota(workspace)
        if quota is None:
            return None
        tokens = quota.compute_tokens(request.work)
        return cls(quotas, workspace, tokens) if tokens > 0 else None

    async def prepare(self) -> int | None:
        """
        Get the tokens of one run, unless a grant is left.

        :return: time until they will be available, none if they are granted
        """
        if self._receipt is not None:
            return None
        answer = await self._quotas.ask(self._workspace, self._tokens)
        if isinstance(answer, int):
            return answer
        self._keep(answer)
        return None

    def spend(self) -> Receipt | None:
        """Return the grant for a run that begins."""
        receipt = self._receipt
        self._receipt = None
        return receipt

    def settle(self, receipt: Receipt, *, has_run: bool) -> None:
        """
        Record the end of a run.

        :param has_run: whether a target may have run it; if not, its grant
            serves the next run
        """
        if has_run:
            self._quotas.meters.count_used(self._workspace, self._tokens)
        else:
            self._keep(receipt)

    def mark_begun(self) -> None:
        """Record that a target has read the prompt: nothing is returned."""
        self._is_returnable = False

    def close(self) -> None:
        """Return a grant that no run has used: the request is over."""
        self._is_closed = True
        receipt = self.spend()
        if receipt is not None:
            self._give_back(receipt)

    def _keep(self, receipt: Receipt) -> None:
        if self._is_closed or self._receipt is not None:
            self._give_back(receipt)
        else:
            self._receipt = receipt

    def _give_back(self, receipt: Receipt) -> None:
        if self._is_returnable:
            self._quotas.give_back(receipt, self._workspace, self._tokens)
