"""Forms of names and addresses in the table."""

import re

from cicadahoist.cmd.operator.exits import RejectedError


class Form:
    """
    What a name or an address may look like.

    :param pattern: what the whole text has to match
    :param words: the same in words
    """

    __slots__ = ('_pattern', '_words')

    def __init__(self, pattern: str, words: str) -> None:
        self._pattern = re.compile(pattern)
        self._words = words

    def check(self, given: str) -> None:
        """
        Check a text.

        :raises RejectedError: it does not have this form
        """
        if not self._pattern.fullmatch(given):
            raise RejectedError(
                f'{given!r} has a wrong form', remedy=f'give {self._words}'
            )


# Names are parts of object names and of paths.
NAME = Form(r'[\w.-]{1,128}', 'letters, digits, "_", "." and "-", 128 at most')
MODEL_NAME = Form(
    r'[\w.:/-]{1,128}',
    'letters, digits, "_", ".", "-", ":" and "/", 128 at most',
)
URL = Form(r'https?://[^/\s]+(/\S*)?', 'an address like http://10.0.0.1:8000')
