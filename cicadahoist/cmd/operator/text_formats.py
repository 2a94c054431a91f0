"""Formats of names and URLs in the table."""

import re

from cicadahoist.cmd.operator.exit_codes import RejectedError


class TextFormat:
    """
    Format of a name or a URL.

    :param pattern: regular expression that the whole text has to match
    :param description: the format in words, for the remedy of the error
    """

    __slots__ = ('_description', '_pattern')

    def __init__(self, pattern: str, description: str) -> None:
        self._pattern = re.compile(pattern)
        self._description = description

    def check(self, text: str) -> None:
        """
        Check that a text has this format.

        :raises RejectedError: the text has another format
        """
        if not self._pattern.fullmatch(text):
            raise RejectedError(
                f'{text!r} has a wrong form', remedy=f'give {self._description}'
            )


# Names become parts of object names in the store and of paths.
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
