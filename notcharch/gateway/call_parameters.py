"""Engine parameters of a call, passed to the engine as JSON.

Only the types are checked here; the engine validates the values.
"""

from collections.abc import Callable, Mapping

import msgspec

from notcharch.errors import Finding

NO_PARAMETERS = b"{}"
PROMPT_OVERHEAD_TOKENS = 8


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_integer(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_boolean(value: object) -> bool:
    return isinstance(value, bool)


def _is_string(value: object) -> bool:
    return isinstance(value, str)


def _is_string_or_string_list(value: object) -> bool:
    is_list = isinstance(value, list) and all(isinstance(item, str) for item in value)
    return isinstance(value, str) or is_list


def _is_object(value: object) -> bool:
    return isinstance(value, dict)


def _is_string_or_object(value: object) -> bool:
    return isinstance(value, str | dict)


def _is_list_of_objects(value: object) -> bool:
    return isinstance(value, list) and all(isinstance(item, dict) for item in value)


SAMPLING_PARAMETERS: Mapping[str, Callable[[object], bool]] = {
    "temperature": _is_number,
    "top_p": _is_number,
    "top_k": _is_integer,
    "min_p": _is_number,
    "presence_penalty": _is_number,
    "frequency_penalty": _is_number,
    "repetition_penalty": _is_number,
    "seed": _is_integer,
    "stop": _is_string_or_string_list,
    "logit_bias": _is_object,
    "parallel_tool_calls": _is_boolean,
    "reasoning_effort": _is_string,
}
PROMPT_PARAMETERS: Mapping[str, Callable[[object], bool]] = {
    "tools": _is_list_of_objects,
    "tool_choice": _is_string_or_object,
    "response_format": _is_object,
}
"""Parameters that are part of the prompt and therefore cost tokens."""

PARAMETERS = {**SAMPLING_PARAMETERS, **PROMPT_PARAMETERS}


def read_parameters(fields: Mapping[str, object], findings: list[Finding]) -> bytes:
    """Return the parameters of a body as a JSON object with sorted keys."""
    parameters_by_name: dict[str, object] = {}
    for name, is_valid in PARAMETERS.items():
        value = fields.get(name)
        if value is None:
            continue
        if is_valid(value):
            parameters_by_name[name] = value
        else:
            findings.append(Finding(name, "has the wrong type"))
    return msgspec.json.encode(parameters_by_name, order="deterministic")


def parameter_tokens(parameters: bytes) -> int:
    """Return an upper bound of the prompt tokens of parameters, from their bytes."""
    parameters_by_name = msgspec.json.decode(parameters, type=dict[str, msgspec.Raw])
    prompt_values = [
        value for name, value in parameters_by_name.items() if name in PROMPT_PARAMETERS
    ]
    return sum(len(bytes(value)) + PROMPT_OVERHEAD_TOKENS for value in prompt_values)
