"""Connections that go back to their pool while they are not read."""

from tests.test_serving.world import SHORT_PROMPT_HEADERS, World, target


# Guards against a request that waits to its deadline, as its connection was not
# read when the answer before it ended: the caller of that one read slowly.
def test_a_connection_is_read_again_by_the_next_request():
    world = World()
    world.add(target('d1', 'llm', 'decode'))
    caller = world.send_request(
        b'/check/x', *SHORT_PROMPT_HEADERS, patience=15_000
    )
    first = world.sent[0]
    first.begin_stream()
    transport = caller.transport
    write = transport.write

    def write_to_slow_caller(written):
        write(written)
        if b'data: t1' in written:
            transport.producer.pauseProducing()

    transport.write = write_to_slow_caller
    event = b'id: 1\ndata: t1\n\n'
    first.write(b'%x\r\n%s\r\n0\r\n\r\n' % (len(event), event))
    assert caller.received.endswith(b'0\r\n\r\n')
    world.send_request(b'/check/x', *SHORT_PROMPT_HEADERS, patience=15_000)
    assert world.sent[-1].transport.producerState == 'producing'
