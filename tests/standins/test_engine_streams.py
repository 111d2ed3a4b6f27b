"""The answers that a stand-in engine is giving."""

import asyncio

from azureswitch.core import CallId, HostName, Incarnation
from azureswitch.ports import Surface
from azureswitch_standins.engine import Finished, RunRequest, read_prompt
from azureswitch_standins.engine._prompt import Question
from azureswitch_standins.engine._streams import LiveStream
from azureswitch_standins.engine._wire import EventEncoder


class TestLiveStream:
    """Unit tests of `LiveStream`."""

    def test_no_change_is_missed(self):
        """A reader that takes the event before it reads the state misses no change."""

        async def scenario():
            prompt = read_prompt(prompt="p", cache_scope="")
            question = Question(model="m", prompt=prompt, max_tokens=1, stream=True)
            request = RunRequest(
                call=CallId("c"),
                attempt=1,
                owner=Incarnation(host=HostName("h"), started=1),
                model="m",
                prompt=prompt,
                max_tokens=1,
            )
            encoder = EventEncoder(call=request.call, surface=Surface.COMPLETION, question=question)
            stream = LiveStream(request=request, encoder=encoder)
            changed = stream.changed
            waiting = asyncio.ensure_future(changed.wait())
            stream.finish(Finished(at=0.0, call=request.call, attempt=1, cached_tokens=0))
            async with asyncio.timeout(1.0):
                return await waiting

        assert asyncio.run(scenario())
