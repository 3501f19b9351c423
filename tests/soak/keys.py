"""Keys of workspaces in the soak: draws configurations whose keys come, go and move, and the keys of callers, and checks
that no request ran for a workspace that its key never stood for, and that no key reached an endpoint."""
import json
import random

import hosts_standin as standin
from fleet import KEY_MARK, Relay

NAMES = ("north", "south", "east", "west")
# Callers use one of the keys that change with this ratio, and one that no configuration ever had, or none, with that one.
CHANGING_RATIO, BAD_RATIO = 0.15, 0.05
CHANGING = 8
# Of the keys that change, in each new configuration.
CHANGE_RATIO = 0.2
MISSING, MALFORMED = "", "malformed"


class Keys:
    """The keys of one run. STABLE maps workspaces to the key that each always has. HOLDERS maps each key that changes
    to the workspaces that have had it in some configuration, SENT attempts to the key that they were sent with."""

    def __init__(self, seed, in_use):
        self.rand, self.in_use = random.Random(seed + 3), in_use
        self.stable = {name: f"{KEY_MARK}{seed}-{name}" for name in NAMES}
        self.now = {f"{KEY_MARK}{seed}-changing-{i}": None for i in range(CHANGING)}
        self.holders, self.sent = {key: set() for key in self.now}, {}

    def configuration(self, version):
        """Returns a configuration of VERSION, in which some of the keys that change have another workspace or none."""
        text = standin.configuration(version, standin.ROUTES)
        if not self.in_use:
            return text
        for key in self.now:
            if self.rand.random() < CHANGE_RATIO:
                self.now[key] = self.rand.choice([None, None, *NAMES])
            if self.now[key] is not None:
                self.holders[key].add(self.now[key])
        workspaces = [{"name": name, "api-keys": [self.stable[name], *(k for k, n in self.now.items() if n == name)]}
                      for name in NAMES]
        return json.dumps(json.loads(text) | {"tenants": workspaces}).encode()

    def draw(self):
        """Returns the key for a request, and whether no configuration ever has it."""
        draw = self.rand.random()
        if not self.in_use or draw >= CHANGING_RATIO + BAD_RATIO:
            return self.stable[self.rand.choice(NAMES)], False
        if draw >= BAD_RATIO:
            return self.rand.choice(list(self.now)), False
        return self.rand.choice([MISSING, MALFORMED, KEY_MARK + "unknown"]), True

    def header(self, key, attempt):
        """Returns the header line for KEY, which ATTEMPT is sent with. The caller claims to be of some workspace."""
        self.sent[attempt] = key
        if not self.in_use:
            return ""
        claim = f"X-Jaycove-Tenant: {self.rand.choice(NAMES)}\r\n"
        scheme = "" if key == MALFORMED else "Bearer "
        return claim if key == MISSING else f"{claim}Authorization: {scheme}{key}\r\n"

    def headers(self, name=NAMES[0]):
        return [("Authorization", f"Bearer {self.stable[name]}")] if self.in_use else []

    def check_status(self, attempt, bad, status, results):
        """Checks STATUS, which the caller of ATTEMPT got; BAD tells that no configuration ever has its key."""
        if bad:
            results.check(status in (401, 503), "unknown key refused", f"{attempt} got {status}")
        elif self.sent[attempt] in self.stable.values():
            results.check(status != 401, "known key served", f"{attempt} got {status}")

    def check_runs(self, ran, results):
        """Checks RAN, what one endpoint ran."""
        for attempt, _, _, fields in ran:
            if not self.in_use or attempt not in self.sent:
                continue
            key, name = self.sent[attempt], fields.get("x-jaycove-tenant")
            held = self.holders.get(key) or {n for n, k in self.stable.items() if k == key}
            results.check(name in held, "runs for the key's workspace", f"{attempt} ran for {name}, its key stood for {held}")
            results.check("authorization" not in fields, "keys stay here", f"{attempt} had {fields}")

    async def check_last(self, text, results):
        """Checks that every instance decides by the configuration TEXT, the last one, once faults have ended."""
        holders = {key: w["name"] for w in json.loads(text).get("tenants", []) for key in w["api-keys"]}

        async def agree():
            self.wrong = [(entry, key) for entry in standin.ADDRESSES["entries"] for key in self.now
                          if await self.is_wrong(entry, key, holders)]
            return not self.wrong
        try:
            await standin.until("all instances to decide by the last keys", agree)
        except SystemExit:
            results.add_violation("last keys", f"{self.wrong} though {holders}")

    async def is_wrong(self, entry, key, holders):
        attempt = "%016x" % random.getrandbits(64)
        self.sent[attempt] = key
        reply = await standin.request(entry, "GET", "/read/x", attempt=attempt,
                                      headers=[("Authorization", f"Bearer {key}")])
        return (reply.status == 401) != (key not in holders)

    def check_leaks(self, results):
        results.check(not self.in_use or not Relay.leaks, "keys stay here", f"{len(Relay.leaks)} blocks to endpoints had one")
