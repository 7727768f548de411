import json
import unittest

from standins.caller import Prompt, Verdict, judge_completion, read_reason


def build_stream(text, done=True):
    event = {"choices": [{"delta": {"content": text}}]}
    lines = [f"data: {json.dumps(event)}", ""] + ["data: [DONE]", ""] * done
    return "\n".join(lines).encode()


class JudgeCompletionTests(unittest.TestCase):
    def test_streams(self):
        """Only a prompt's own answer with its end marked is whole."""
        prompt = Prompt(text="a", tokens=2, stream=True)
        cases = {
            "own": (build_stream(prompt.expected), Verdict.WHOLE),
            "another's": (build_stream("b tokens=2 "), Verdict.WRONG),
            "truncated with an end": (build_stream("a "), Verdict.WRONG),
            "without an end": (build_stream("a ", done=False), Verdict.CUT),
        }
        for name, (body, verdict) in cases.items():
            with self.subTest(name):
                self.assertIs(judge_completion(body, prompt), verdict)


class ReadReasonTests(unittest.TestCase):
    def test_forms(self):
        """The code of a typed error is found, and its absence is told."""
        cases = {
            b'{"error": {"code": "overloaded"}}': "overloaded",
            b'{"error": {"message": "no"}}': "no",
            b"<html>": "untyped",
        }
        for body, reason in cases.items():
            with self.subTest(body=body):
                self.assertEqual(read_reason(body), reason)
