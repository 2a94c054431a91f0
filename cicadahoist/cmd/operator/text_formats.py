"""Forms of names and addresses in the table."""

import re

from cicadahoist.cmd.operator.exit_codes import RejectedError


class TextFormat:
    """
    What a name or an address may look like.

    :param pattern: what the whole text has to match
    :param words: the same in words
    """

    __slots__ = ('_description', '_pattern')

    def __init__(self, pattern: str, description: str) -> None:
        self._pattern = re.compile(pattern)
        self._description = description

    def check(self, text: str) -> None:
        """
        Check a text.

        :raises RejectedError: it does not have this form
        """
        if not self._pattern.fullmatch(text):
            raise RejectedError(
                f'{text!r} has a wrong form', remedy=f'give {self._description}'
            )


# Names are parts of object names and of paths.
NAME_FORMAT = TextFormat(
    r'[\w.-]{1,128}', 'letters, digits, "_", "." and "-", 128 at most'
)
MODEL_NAME_FORMAT = TextFormat(
    r'[\w.:/-]{1,128}',
    'letters, digits, "_", ".", "-", ":" and "/", 128 at most',
)
URL_FORMAT = TextFormat(
    r'https?://[^/\s]+(/\S*)?', 'an address like http://10.0.0.1:8000'
)
