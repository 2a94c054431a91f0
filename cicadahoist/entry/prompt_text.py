"""The text of a prompt, joined as engines do it, for prefix affinity."""

from typing import Any


def join_prompt_text(messages: list[Any] | None, prompt: Any) -> str:
    """
    Return the complete prompt as one text.

    :param messages: messages of a chat, each a mapping with role and content
    :param prompt: text of a completion, or a list of texts
    """
    if messages:
        return '\n'.join(_join_message(message) for message in messages)
    return _flatten(prompt)


def _join_message(message: Any) -> str:
    if not isinstance(message, dict):
        return ''
    role = message.get('role', '')
    return f'{role}: {_flatten(message.get("content"))}'


def _flatten(content: Any) -> str:
    """Return a text, or a list of content parts, as one text."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        return ''
    parts = (
        part.get('text', '') if isinstance(part, dict) else part
        for part in content
    )
    return ''.join(part for part in parts if isinstance(part, str))
