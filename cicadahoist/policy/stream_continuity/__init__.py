"""
What an answer must hold to be a stream, to continue one, and to complete it.

A caller's stream may take its events from several answers. Its first answer is
passed on as it is; each further one must show that it holds the rest:

* a signed success of the same status and media type;
* nothing but events, each with a number behind the event that it was asked to
  continue after, and with none left out where the stream counts its events;
* no end inside an event, and none before the first event unless the answer
  states that it is an event stream and states its end.

The failures of targets, and whatever else is no such answer, leave the stream
broken off: another target continues it, or its caller sees it break off. All
answers come to `AnswerCheck`, also those that arrive through another instance,
which passes on bytes.
"""
