"""
Answers to prefills that are none, or that name no KV cache.

They guard against a request that fails for what an engine has sent, though it
has not run.
"""

import pytest

from tests.test_serving.world import World, prompt_headers, target

SOURCE = b'X-Cicadahoist-Kv-Source'


# Guards against a name that breaks the head of the run: 502 as by a defect.
@pytest.mark.parametrize(
    'name',
    [b'h\\r\\nX: y', b'h\\n', b'h\\u0000', b' h', b'h\\u20ac', b''],
    ids=['head', 'line-end', 'null', 'space', 'beyond-ascii', 'empty'],
)
def test_a_cache_whose_name_fits_no_header_is_not_used(name):
    world = World()
    world.add(target('p1', 'llm', 'prefill'), target('d1', 'llm', 'decode'))
    caller = world.send_request(b'/ask/x', *prompt_headers(), patience=15_000)
    body = b'{"kv-handle":"%s","tokens":9000,"version":1}' % name
    world.sent[0].answer(body=body)
    run = world.sent[1]
    assert run.target == 'd1'
    assert run.header(SOURCE) is None
    run.begin_stream()
    run.send_events(1)
    run.end_stream()
    assert caller.status == 200
    assert caller.body.count(b'data: t1') == 1
