#!/usr/bin/env python3
"""The checks of the run of real processes (scripts/account_checks.py), without processes: a check that
passes everything, or that reports what is allowed, would make its runs worthless."""
import argparse
import os
import sys
import types
import unittest

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
sys.dont_write_bytecode = True
sys.path[:0] = [os.path.join(ROOT, "scripts"), os.path.join(ROOT, "review", "standins")]
import account_checks  # noqa: E402

CONFIG_MS = account_checks.CONFIG_MS
WINDOW_MS = account_checks.WINDOW_MS
LIMIT = 4000


class AccountChecksTest(unittest.TestCase):
    def setUp(self):
        self.now, self.broken = 0.0, []
        account_checks.now_ms = lambda: self.now
        self.bed = types.SimpleNamespace(seed=1, disturbed=account_checks.Disturbances(), executors=[], starts=[],
                                         breach=self.broken.append)
        self.accounts = account_checks.Accounts(self.bed, strict=False)
        self.write(0, {"old": "a", "kept": "a", "other": "b"})

    def write(self, at, keys, limit=LIMIT):
        self.accounts.versions.written.append(
            {"began": at, "acked": at + 1, "keys": keys, "limits": {"a": (limit, 0), "b": (0, 0)}})

    def answer(self, key, status, sent, path="/s/", method="GET"):
        """Returns whether an answer, 10 ms after its request, is a breach."""
        before = len(self.broken)
        self.accounts.check_answer(1, method, path, key, status, sent, sent + 10)
        return len(self.broken) > before

    def disturb(self, subject, began, ended):
        self.bed.disturbed.spans[subject].append([began, ended])

    # Guards against a run that doesn't notice accepted keys, or one that reports what is allowed.
    def test_withdrawn_keys(self):
        self.write(10000, {"kept": "a"})
        late = 10001 + CONFIG_MS + 1
        self.assertFalse(self.answer("old", 200, late - 100))
        self.assertTrue(self.answer("old", 200, late))
        self.assertFalse(self.answer("old", 401, late))
        self.assertFalse(self.answer("kept", 200, late))
        self.disturb("store", late - WINDOW_MS, late - 500)
        self.assertFalse(self.answer("old", 200, late))
        self.accounts.strict = True
        self.assertTrue(self.answer("old", 200, late))

    def test_a_disturbance_of_another_node_excuses_nothing(self):
        self.write(10000, {"kept": "a"})
        self.disturb(2, 10000, 20000)
        self.assertTrue(self.answer("old", 200, 15000))

    def test_unknown_keys_never_count(self):
        self.disturb("store", 0, 20000)
        for key in ("never", None):
            self.assertTrue(self.answer(key, 200, 10000))
            self.assertFalse(self.answer(key, 401, 10000))

    def test_valid_keys_are_never_refused(self):
        self.disturb("store", 0, 20000)
        self.assertTrue(self.answer("kept", 401, 10000))
        self.write(10000, {"kept": "a", "new": "a"})
        self.assertFalse(self.answer("new", 401, 9995))  # The version was written meanwhile.
        self.assertTrue(self.answer("new", 401, 10002))

    # Guards against reporting a holder that knows the version before a key's return.
    def test_a_key_that_has_come_back_is_refused_for_a_while(self):
        self.write(10000, {"kept": "a"})
        self.write(10300, {"kept": "a", "old": "a"})
        self.assertFalse(self.answer("old", 401, 11000))
        self.assertTrue(self.answer("old", 401, 10302 + CONFIG_MS))

    def test_jobs_of_other_accounts(self):
        self.accounts.jobs["j"] = {"account": "a", "cpu": 1, "mem_mb": 1}
        self.assertTrue(self.answer("other", 200, 5000, "/s/j"))
        self.assertTrue(self.answer("other", 200, 5000, "/s/j", "DELETE"))
        self.assertFalse(self.answer("other", 403, 5000, "/s/j"))
        self.assertFalse(self.answer("kept", 200, 5000, "/s/j"))
        self.assertTrue(self.answer("kept", 403, 5000, "/s/j"))

    def test_public_route(self):
        self.accounts.jobs["j"] = {"account": "a", "cpu": 1, "mem_mb": 1}
        self.assertFalse(self.answer(None, 200, 5000, "/open/"))
        self.assertTrue(self.answer(None, 401, 5000, "/open/"))
        self.assertTrue(self.answer(None, 200, 5000, "/open/j"))
        self.assertFalse(self.answer(None, 403, 5000, "/open/j"))

    def start(self, at, cpu, sent_at=None):
        """Returns whether one more task of 400 beside others, that come to `cpu` with it, is a breach."""
        self.now, before = at, len(self.broken)
        self.accounts.jobs.update(big={"account": "a", "cpu": cpu - 400, "mem_mb": 1},
                                  new={"account": "a", "cpu": 400, "mem_mb": 1},
                                  apart={"account": "b", "cpu": 90000, "mem_mb": 1})
        # Two executors, as the limit counts over all.
        self.bed.executors[:] = [types.SimpleNamespace(running={"big.0.0.0": {}, "apart.0.0.0": {}}),
                                 types.SimpleNamespace(running={"new.0.0.0": {}})]
        self.accounts.check_start("new.0.0.0", types.SimpleNamespace(sent_at=at if sent_at is None else sent_at))
        return len(self.broken) > before

    def test_limit_with_its_tolerance(self):
        most = int(LIMIT * 1.1) + 400
        self.assertFalse(self.start(5000, most))
        self.assertTrue(self.start(5000, most + 1))

    def test_a_lowered_limit_holds_after_the_bound(self):
        self.write(10000, {"kept": "a"}, limit=2000)
        late = 10001 + CONFIG_MS + 1
        self.assertFalse(self.start(late - 100, LIMIT))
        self.assertTrue(self.start(late, LIMIT))
        # An executor carried the order out late.
        self.assertFalse(self.start(late, LIMIT, sent_at=late - 100))
        self.disturb(2, 9000, late - 500)
        self.assertFalse(self.start(late, LIMIT))
        self.assertTrue(self.start(late + CONFIG_MS + WINDOW_MS, LIMIT))

    def test_jobs_that_must_not_start(self):
        self.accounts.refused.add("new")
        self.assertTrue(self.start(5000, 500))
        self.accounts.refused.clear()
        self.assertFalse(self.start(5000, 500))
        self.accounts.jobs["nobodys"] = {"account": None, "cpu": 1, "mem_mb": 1}
        self.accounts.check_start("nobodys.0.0.0", types.SimpleNamespace(sent_at=5000))
        self.assertIn("nobody", self.broken[-1])


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin")  # As all scripts of the suite have it; no program is started.
    _, rest = parser.parse_known_args()
    unittest.main(argv=[sys.argv[0]] + rest)
