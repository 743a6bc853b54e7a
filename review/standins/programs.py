"""Stand-in for callers that run agent programs, after PROTOCOL.md."""

import fleet as fleet_module
import http1


class Turn:
    """A turn that was asked for, and its answer."""

    def __init__(self, request_id, answer):
        self.id, self.answer = request_id, answer

    def is_whole(self):
        return self.answer.status == 200 and self.answer.is_complete

    def event_count(self):
        return sum(line.startswith("data: ") for line in self.answer.body.decode().split("\n"))


class Program:
    """One agent program; keeps a channel to each gateway that it uses."""

    def __init__(self, fleet, path, budget, max_tokens, deadline_ms=4000):
        self.fleet, self.path = fleet, path
        self.id = fleet_module.new_id()
        self.budget, self.max_tokens, self.deadline_ms = budget, max_tokens, deadline_ms
        self.channels = {}
        self.turns = {}

    async def turn(self, gateway, text, previous=None, session="s1", prompt_tokens=100):
        """Asks `gateway` for a turn that continues `previous`, and records what comes back."""
        channel = self.channels.setdefault(gateway.name, http1.Channel(gateway.front))
        request_id = fleet_module.new_id()
        headers = [
            ("Host", fleet_module.HOST),
            ("Request-Id", request_id),
            ("Model", "m"),
            ("Program-Id", self.id),
            ("Session-Id", session),
            ("Program-Deadline-Ms", "110000"),
            ("Token-Budget", str(self.budget)),
            ("Token-Usage", f"{prompt_tokens},{self.max_tokens}"),
            ("Prompt-Prefix", f"{request_id[:8]}:{prompt_tokens}"),
            ("Deadline-Ms", str(self.deadline_ms)),
        ]
        if previous is not None:
            headers.append(("Previous-Turn", previous.id))
        self.fleet.record(
            f"program {self.id}: sends turn {request_id} to {gateway.name}, input {len(text)} B, "
            f"at most {self.max_tokens} tokens of {self.budget}"
        )
        answer = await channel.request(
            "POST", self.path, headers, text.encode(), timeout=self.deadline_ms / 1000 + 1
        )
        turn = Turn(request_id, answer)
        self.turns[request_id] = turn
        self.fleet.record(
            f"program {self.id}: turn {request_id} after {previous.id if previous else None} "
            f"at {gateway.name}: {answer.outcome()}"
        )
        return turn
