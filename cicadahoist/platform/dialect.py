"""Translates requests and answers between platform headers and the core."""

import re
from typing import Annotated

import msgspec

from cicadahoist.errors import CallerError, WireError
from cicadahoist.log import get_logger
from cicadahoist.outside.http import HTTP_MULTIPLE_CHOICES, HTTP_OK
from cicadahoist.platform.names import (
    ATTEMPT_ID,
    CONNECTION_HEADERS,
    DEADLINE_MS,
    EXPECTED_TARGET,
    HANDLE,
    KEY_SCHEME,
    LAST_EVENT,
    LEAVING,
    LENGTH_ESTIMATE,
    MODEL,
    NOT_RUN,
    PROMPT_PARTS,
    RESUMED_ATTEMPT,
    RETRY_AFTER,
    SIGNATURE,
    STAGE,
    SYSTEM_HEADERS,
    TENANT,
    TOKEN_COUNT,
    URGENCY,
)
from cicadahoist.requests import (
    AnswerHead,
    AnswerMeaning,
    Handle,
    HeaderList,
    InboundRequest,
    ModelWork,
    PromptPart,
    SendOptions,
    may_state_other_length,
)

logger = get_logger(__name__)

MS_PER_S = 1000
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
# Any byte of a header is a character of its text, and the same byte again.
ENCODING = 'latin-1'
# What an answer is attributed and verified by, whatever a connection states.
_IDENTITY = frozenset((ATTEMPT_ID.lower(), SIGNATURE.lower()))
HTTP_SUCCESSES = range(HTTP_OK, HTTP_MULTIPLE_CHOICES)
_SECONDS = re.compile(rb'\d{1,12}(\.\d*)?')
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d+)')
# It becomes a part of a header and of a path.
_HANDLE_NAME = r'\A[!-~]+\Z'


class _WireHandle(msgspec.Struct, rename='kebab', kw_only=True):
    # Identifies the KV cache that the prefill engine holds for pickup.
    kv_handle: Annotated[str, msgspec.Meta(pattern=_HANDLE_NAME)]
    tokens: int = 0


_decode_handle = msgspec.json.Decoder(_WireHandle).decode


class Dialect:
    """Encodes and decodes the platform's headers; stateless."""

    __slots__ = ()

    def request_from(
        self, method: bytes, path: bytes, headers: HeaderList, body: bytes
    ) -> InboundRequest:
        """
        Decode a caller's request.

        :param headers: headers as received, with names in lower case
        :raises CallerError: a header that the core relies on is malformed
        """
        by_name = dict(reversed(headers))
        hop_by_hop = _list_connection_options(headers)
        forwarded = [
            (name, content)
            for name, content in headers
            if name not in CONNECTION_HEADERS
            and name not in SYSTEM_HEADERS
            and name not in hop_by_hop
        ]
        return InboundRequest(
            attempt_id=_read_text(by_name, ATTEMPT_ID),
            method=method,
            host=_read_text(by_name, b'host'),
            path=path,
            headers=forwarded,
            body=body,
            key=_read_text(by_name, b'Authorization').removeprefix(KEY_SCHEME),
            patience_ms=_read_number(by_name, DEADLINE_MS),
            resume_after=_read_text(by_name, LAST_EVENT),
            resumed_attempt_id=_read_text(by_name, RESUMED_ATTEMPT),
            work=_read_model_work(by_name),
        )

    def target_headers(
        self, request: InboundRequest, options: SendOptions, address: str
    ) -> HeaderList:
        """Return the request headers of one attempt at a target."""
        headers: HeaderList = [(b'Host', request.host.encode(ENCODING))]
        headers.extend(request.headers)
        headers.append((ATTEMPT_ID, request.attempt_id.encode(ENCODING)))
        headers.append((EXPECTED_TARGET, options.target.encode()))
        if options.workspace:
            headers.append((TENANT, options.workspace.encode()))
        if options.remaining_ms is not None:
            headers.append((DEADLINE_MS, b'%d' % max(1, options.remaining_ms)))
        if options.resume_after:
            headers.append((LAST_EVENT, options.resume_after.encode()))
        if request.work is not None:
            headers.append((URGENCY, b'%d' % options.urgency))
        if options.prefill_only:
            headers.append((STAGE, b'prefill'))
        if options.handle is not None:
            source = f'{options.handle.address}/{options.handle.name}'
            headers.append((HANDLE, source.encode()))
        headers.append((b'Content-Length', b'%d' % len(request.body)))
        return headers

    def answer_head(
        self, request: InboundRequest, status: int, headers: HeaderList
    ) -> AnswerHead:
        """Decode the status and headers of a target's answer."""
        by_name = dict(reversed(headers))
        dropped = CONNECTION_HEADERS | _list_connection_options(headers)
        if may_state_other_length(request.method, status):
            dropped -= {b'content-length'}
        forwarded = [
            (name, content) for name, content in headers if name not in dropped
        ]
        meaning = _classify_answer(request, status, by_name)
        if _is_ambiguous(headers):
            meaning = AnswerMeaning.ambiguous
        found = _KEEP_ALIVE_TIMEOUT.search(by_name.get(b'keep-alive', b''))
        return AnswerHead(
            meaning,
            status,
            forwarded,
            int(found[1]) * MS_PER_S if found else None,
            by_name.get(LEAVING.lower(), b'').strip() == b'1',
            _read_pause_ms(status, by_name),
            named_request=_read_text(by_name, ATTEMPT_ID),
        )

    def own_headers(
        self, request: InboundRequest | None, retry_after_ms: int | None
    ) -> HeaderList:
        """Return the headers of an answer that originates here."""
        headers: HeaderList = []
        if request is not None and request.attempt_id:
            headers.append((ATTEMPT_ID, request.attempt_id.encode(ENCODING)))
        if retry_after_ms is not None:
            seconds = retry_after_ms / MS_PER_S
            headers.append((RETRY_AFTER, b'%.3f' % seconds))
        return headers

    def handle_from(self, body: bytes, engine: str, address: str) -> Handle:
        """
        Decode the answer of a prefill engine.

        :param engine: name of the prefill engine
        :param address: address from which the KV cache is fetched
        :raises WireError: the answer contains no KV cache handle
        """
        try:
            wire = _decode_handle(body)
        except msgspec.MsgspecError as error:
            raise WireError(
                f'undecodable prefill answer: {error}',
                remedy='check the version of the engine',
            ) from error
        return Handle(engine, address, wire.kv_handle)


def _classify_answer(
    request: InboundRequest, status: int, by_name: dict[bytes, bytes]
) -> AnswerMeaning:
    # Any answer may be a late copy of one to another request.
    echoed = _read_text(by_name, ATTEMPT_ID)
    if echoed and echoed != request.attempt_id:
        return AnswerMeaning.foreign
    if status == HTTP_MISDIRECTED:
        return AnswerMeaning.misplaced
    if NOT_RUN.lower() in by_name:
        return AnswerMeaning.not_run
    is_signed = SIGNATURE.lower() in by_name
    if status in HTTP_SUCCESSES:
        if is_signed and b'content-encoding' not in by_name:
            return AnswerMeaning.whole
        return AnswerMeaning.unsigned
    return AnswerMeaning.failure


def _is_ambiguous(headers: HeaderList) -> bool:
    """Return whether an answer names several requests or signatures."""
    for identity in _IDENTITY:
        if len({content for name, content in headers if name == identity}) > 1:
            return True
    return False


def _read_pause_ms(status: int, by_name: dict[bytes, bytes]) -> int | None:
    """Return the pause that a target asks for, none if it asks for none."""
    text = by_name.get(RETRY_AFTER.lower(), b'').strip()
    if status != HTTP_UNAVAILABLE or not text:
        return None
    if not _SECONDS.fullmatch(text):
        logger.warning('Retry-After of a target ignored: {0!r}', text)
        return None
    return round(float(text) * MS_PER_S)


def _list_connection_options(headers: HeaderList) -> frozenset[bytes]:
    """Return the names that Connection headers declare hop-by-hop."""
    options = b','.join(
        content for name, content in headers if name == b'connection'
    )
    named = {option.strip().lower() for option in options.split(b',')}
    return frozenset(named - _IDENTITY)


def _read_text(by_name: dict[bytes, bytes], name: bytes) -> str:
    return by_name.get(name.lower(), b'').strip().decode(ENCODING)


def _read_number(by_name: dict[bytes, bytes], name: bytes) -> int | None:
    text = _read_text(by_name, name)
    if not text:
        return None
    try:
        return round(float(text))
    except (ValueError, OverflowError) as error:
        raise CallerError(
            f'{name.decode()} is not a number',
            remedy='send a whole number',
        ) from error


def _read_model_work(by_name: dict[bytes, bytes]) -> ModelWork | None:
    counts = _read_text(by_name, TOKEN_COUNT)
    if not counts:
        return None
    try:
        prompt, _, output = counts.partition(',')
        return ModelWork(
            model=_read_text(by_name, MODEL),
            prompt_tokens=int(prompt),
            max_output_tokens=int(output or 0),
            parts=_parse_prompt_parts(_read_text(by_name, PROMPT_PARTS)),
            estimated_output_tokens=_read_number(by_name, LENGTH_ESTIMATE) or 0,
        )
    except ValueError as error:
        raise CallerError(
            f'malformed prompt headers: {error}',
            remedy='send ID:TOKENS entries and whole token counts',
        ) from error


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in filter(None, text.split(',')):
        digest, _, tokens = entry.strip().partition(':')
        parts.append(PromptPart(digest, int(tokens)))
    return tuple(parts)
