import json
import unittest

from standins.caller import Prompt, Verdict, check_completion, parse_error_code


def build_stream(text, has_end=True):
    event = {"choices": [{"delta": {"content": text}}]}
    lines = [f"data: {json.dumps(event)}", ""] + ["data: [DONE]", ""] * has_end
    return "\n".join(lines).encode()


class CheckCompletionTests(unittest.TestCase):
    def test_streams(self):
        """Only the expected text with its end marked is complete."""
        prompt = Prompt(text="a", tokens=2, stream=True)
        cases = {
            "own": (build_stream(prompt.expected_text), Verdict.COMPLETE),
            "of another prompt": (build_stream("b tokens=2 "), Verdict.INCORRECT),
            "short with an end": (build_stream("a "), Verdict.INCORRECT),
            "without an end": (build_stream("a ", has_end=False), Verdict.TRUNCATED),
        }
        for name, (body, verdict) in cases.items():
            with self.subTest(name):
                self.assertIs(check_completion(body, prompt), verdict)


class ParseErrorCodeTests(unittest.TestCase):
    def test_forms(self):
        """The code or message of an error is found, or it is untyped."""
        cases = {
            b'{"error": {"code": "overloaded"}}': "overloaded",
            b'{"error": {"message": "no"}}': "no",
            b"<html>": "untyped",
        }
        for body, code in cases.items():
            with self.subTest(body=body):
                self.assertEqual(parse_error_code(body), code)
