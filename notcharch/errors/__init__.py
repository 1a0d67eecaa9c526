"""Typed problems and findings, the only shape in which errors leave a module."""

from notcharch.errors.problem import Finding, Problem, ProblemCode, Ran

__all__ = ["Finding", "Problem", "ProblemCode", "Ran"]
