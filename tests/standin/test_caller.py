import json
import unittest

from standins.caller import Prompt, Verdict, check_completion, parse_error_code


def build_stream(text, done=True):
    event = {"choices": [{"delta": {"content": text}}]}
    lines = [f"data: {json.dumps(event)}", ""] + ["data: [DONE]", ""] * done
    return "\n".join(lines).encode()


class JudgeCompletionTests(unittest.TestCase):
    def test_streams(self):
        """Only a prompt's own answer with its end marked is whole."""
        prompt = Prompt(text="a", tokens=2, stream=True)
        cases = {
            "own": (build_stream(prompt.expected_text), Verdict.COMPLETE),
            "another's": (build_stream("b tokens=2 "), Verdict.INCORRECT),
            "truncated with an end": (build_stream("a "), Verdict.INCORRECT),
            "without an end": (build_stream("a ", done=False), Verdict.TRUNCATED),
        }
        for name, (body, verdict) in cases.items():
            with self.subTest(name):
                self.assertIs(check_completion(body, prompt), verdict)


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
                self.assertEqual(parse_error_code(body), reason)
