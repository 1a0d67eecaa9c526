"""The HTTP resource tree of a daemon: `/v1`, `/admin/v1` and `/metrics`."""

from twisted.web.iweb import IRequest
from twisted.web.resource import IResource, Resource

from notcharch.errors import Problem, ProblemCode
from notcharch.wire.http_problem import start_problem


class UnknownPath(Resource):
    """Responds to unknown paths with a NOT_FOUND problem."""

    isLeaf = True  # noqa: N815 - Twisted's name

    def __init__(self) -> None:
        """Create a leaf resource."""
        super().__init__()  # type: ignore[no-untyped-call]

    def render(self, request: IRequest) -> bytes:
        """Respond with NOT_FOUND."""
        problem = Problem.of(ProblemCode.NOT_FOUND, "nothing is served at this path")
        return start_problem(request, problem)


class Branch(Resource):
    """An intermediate path segment that has no content."""

    def __init__(self) -> None:
        """Create a resource without children."""
        super().__init__()  # type: ignore[no-untyped-call]

    def getChild(self, path: bytes, request: IRequest) -> IResource:  # noqa: N802
        """Return the resource for unknown children."""
        return UnknownPath()

    def render(self, request: IRequest) -> bytes:
        """Respond with NOT_FOUND."""
        return UnknownPath().render(request)


def build_tree(callers: IResource, operators: IResource, metrics: IResource) -> Branch:
    """Mount the callers' API, the operators' API and the metrics."""
    root = Branch()
    admin = Branch()
    root.putChild(b"v1", callers)
    root.putChild(b"admin", admin)
    admin.putChild(b"v1", operators)
    root.putChild(b"metrics", metrics)
    return root
