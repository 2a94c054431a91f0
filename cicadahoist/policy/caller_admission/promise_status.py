"""
Which statuses an answer to a caller may bear.

408, 421, 429 and 503 promise that the request has not run and never will, so
that callers send it again. What ends a request decides its status:

* a request that is not read completely, or is refused before it is sent to any
  target: a promise;
* a rejection, by which a target states that it has not run the request: never
  passed on; a promise of this instance if no other target may have run it;
* another answer of a target, whatever its status: passed on, unless its status
  is a promise, as the target may have run the request;
* no answer of a target that may have run the request: 502 or 504.

Answers through another instance are its target's answers: that instance passes
on bytes and composes no status.
"""

PROMISE_STATUSES = frozenset((408, 421, 429, 503))


def may_pass_on(status: int) -> bool:
    """Return whether a target's status may end a request that it may run."""
    return status not in PROMISE_STATUSES
