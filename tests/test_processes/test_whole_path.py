"""The system as separate processes, through the public client."""

import openai
import pytest

PROMPT = [{'role': 'user', 'content': 'Does the ledger reconcile?'}]


def client(deployment, number=0, key='demo-key'):
    return openai.OpenAI(
        base_url=f'{deployment.entries[number]}/v1',
        api_key=key,
        max_retries=0,
    )


def read_text(stream):
    chunks = [chunk for chunk in stream if chunk.choices]
    assert chunks[-1].choices[0].finish_reason
    return ''.join(chunk.choices[0].delta.content or '' for chunk in chunks)


@pytest.mark.parametrize('number', [0, 1])
def test_the_public_client_streams_and_reads_whole_answers(deployment, number):
    chats = client(deployment, number).chat.completions
    options = {'model': 'demo-model', 'messages': PROMPT, 'max_tokens': 12}
    answer = chats.create(**options)
    streamed = read_text(chats.create(**options, stream=True))
    assert answer.choices[0].message.content == streamed
    assert answer.usage.completion_tokens == 12


def test_the_public_client_gets_usage_where_it_asks(deployment):
    stream = client(deployment).chat.completions.create(
        model='demo-model',
        messages=PROMPT,
        max_tokens=7,
        stream=True,
        stream_options={'include_usage': True},
    )
    *_, last = stream
    assert last.usage.completion_tokens == 7


def test_the_public_client_completes_texts_and_lists_models(deployment):
    public_client = client(deployment)
    completed = public_client.completions.create(
        model='demo-model', prompt='Once', max_tokens=3
    )
    assert len(completed.choices[0].text.split()) == 3
    assert [model.id for model in public_client.models.list()] == ['demo-model']


def test_the_public_client_raises_its_own_errors(deployment):
    with pytest.raises(openai.AuthenticationError):
        client(deployment, key='wrong').models.list()
    with pytest.raises(openai.NotFoundError) as caught:
        client(deployment).chat.completions.create(
            model='absent', messages=PROMPT
        )
    assert caught.value.code == 'unknown-route'
    assert caught.value.body['outcome'] == 'not-run'
